#include "peer/membership_thread.h"

#include <utility>

#include "membership/events.h"

namespace coltsfootvane::peer {
namespace {

constexpr std::size_t kMaxChanges = 4096;
constexpr Milliseconds kTickPeriod{100};
/// The hint about a newer version is repeated until that version is in force,
/// because a fetch may fail.
constexpr Milliseconds kVersionHintPeriod{500};

const char* StateName(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::kAlive:
      return "alive";
    case membership::MemberState::kSuspect:
      return "suspect";
    case membership::MemberState::kLeaving:
      return "leaving";
    case membership::MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

bool SameMember(const membership::Member& a, const membership::Member& b) {
  return a.id == b.id && a.incarnation == b.incarnation &&
         a.instance == b.instance && a.state == b.state &&
         a.version == b.version && a.planner == b.planner;
}

bool SameView(const MemberView& a, const MemberView& b) {
  if (a.members.size() != b.members.size() ||
      a.leaving_endpoints != b.leaving_endpoints)
    return false;
  for (std::size_t i = 0; i < a.members.size(); ++i) {
    if (!SameMember(a.members[i], b.members[i]))
      return false;
  }
  return true;
}

}  // namespace

MembershipThread::MembershipThread(membership::MemberTable table,
                                   MemberViewHolder* view,
                                   MembershipHooks hooks)
    : table(std::move(table)),
      view(view),
      hooks(std::move(hooks)),
      changes(kMaxChanges) {
  this->Publish();
}

MembershipThread::~MembershipThread() {
  this->Stop();
}

void MembershipThread::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void MembershipThread::Stop() {
  this->changes.Close();
  if (this->thread.joinable())
    this->thread.join();
}

bool MembershipThread::Push(Change change) {
  return this->changes.Push(std::move(change));
}

void MembershipThread::Run() {
  TimePoint next_tick = Clock::now();
  for (;;) {
    const auto change = this->changes.PopUntil(next_tick);
    const TimePoint now = Clock::now();
    // Changes queued before Stop(), such as announcing that this daemon is
    // leaving, are still applied and sent.
    if (!change && this->changes.IsClosed())
      return;
    std::vector<membership::Outgoing> out;
    if (change)
      out = (*change)(this->table, now);
    const bool due = now >= next_tick;
    if (due) {
      for (membership::Outgoing& one : membership::OnTick(this->table, now))
        out.push_back(std::move(one));
      next_tick = now + kTickPeriod;
    }
    for (const membership::Outgoing& one : out)
      this->hooks.send(one);
    // Published once per tick: copying the table for each message would cost
    // more than handling the message.
    if (!due)
      continue;
    this->Publish();
    this->NotifyNewerVersion(now);
  }
}

void MembershipThread::Publish() {
  auto next = std::make_shared<MemberView>();
  next->members = membership::ListMembers(this->table);
  for (const auto& [id, record] : this->table.leaving_endpoints)
    next->leaving_endpoints.insert(id);
  const auto before = this->view->Get();
  if (SameView(*before, *next))
    return;
  for (const membership::Member& member : next->members) {
    const auto [logged, is_new] =
        this->logged_states.try_emplace(member.id, member.state);
    if (!is_new && logged->second == member.state)
      continue;
    logged->second = member.state;
    LogEvent(membership::kMemberState,
             "member=" + member.id + " state=" + StateName(member.state));
  }
  if (this->logged_states.size() > 2 * next->members.size())
    this->logged_states.clear();
  this->view->Set(next);
  for (const std::string& id : next->leaving_endpoints) {
    if (before->leaving_endpoints.count(id) == 0)
      this->hooks.on_endpoint_leaving(id);
  }
}

void MembershipThread::NotifyNewerVersion(TimePoint now) {
  if (now < this->next_version_hint)
    return;
  const membership::Member* newest = nullptr;
  for (const auto& [id, record] : this->table.members) {
    const membership::Member& member = record.member;
    if (member.version <= this->table.self.version ||
        member.state == membership::MemberState::kDead)
      continue;
    if (newest == nullptr || member.version > newest->version)
      newest = &member;
  }
  if (newest == nullptr)
    return;
  this->next_version_hint = now + kVersionHintPeriod;
  this->hooks.on_version(newest->version, newest->digest, newest->address);
}

}  // namespace coltsfootvane::peer
