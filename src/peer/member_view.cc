#include "peer/member_view.h"

#include <algorithm>
#include <utility>

#include "membership/member_table.h"

namespace coltsfootvane::peer {
namespace {

std::vector<std::string> UsableIds(const MemberView& view,
                                   std::string_view data_centre) {
  std::vector<std::string> ids;
  for (const membership::Member& member : view.members) {
    const bool matches =
        data_centre.empty() || member.data_centre == data_centre;
    if (matches && membership::IsUsable(member))
      ids.push_back(member.id);
  }
  return ids;
}

}  // namespace

std::shared_ptr<const MemberView> MemberViewHolder::Get() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->current;
}

void MemberViewHolder::Set(std::shared_ptr<const MemberView> next) {
  std::lock_guard<std::mutex> lock(this->mutex);
  this->current = std::move(next);
}

std::shared_ptr<const dispatch::Routes> RouteCache::Get() {
  auto view = this->in_force->Get();
  const auto member_view = this->members->Get();
  std::lock_guard<std::mutex> lock(this->mutex);
  const bool same = this->current && this->current->view == view &&
                    this->leaving == member_view->leaving_endpoints;
  if (same)
    return this->current;
  this->leaving = member_view->leaving_endpoints;
  this->current = dispatch::MakeRoutes(std::move(view), this->leaving);
  return this->current;
}

std::optional<membership::Member> DispatcherCache::Get(
    const dispatch::Pool& pool) {
  auto current = this->members->Get();
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->view != current) {
    this->view = std::move(current);
    this->chosen.clear();
  }
  const auto [found, is_new] = this->chosen.try_emplace(pool.name, nullptr);
  if (is_new)
    found->second = FindDispatcher(*this->view, pool);
  if (found->second == nullptr)
    return std::nullopt;
  return *found->second;
}

const membership::Member* FindDispatcher(const MemberView& view,
                                         const dispatch::Pool& pool) {
  std::vector<std::string> ids = UsableIds(view, pool.data_centre);
  if (ids.empty())
    ids = UsableIds(view, {});
  const std::string chosen = dispatch::ChooseDispatcher(ids, pool.name);
  for (const membership::Member& member : view.members) {
    if (!chosen.empty() && member.id == chosen)
      return &member;
  }
  return nullptr;
}

int CountUsable(const MemberView& view) {
  const auto count =
      std::count_if(view.members.begin(), view.members.end(),
                    [](const auto& one) { return membership::IsUsable(one); });
  return std::max(1, static_cast<int>(count));
}

}  // namespace coltsfootvane::peer
