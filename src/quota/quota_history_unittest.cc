#include <string>

#include "quota/quota_test_history.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using quota::History;
using quota::kRate;

namespace {

using Plan = void (*)(History* history);

void Steady(History* /*history*/) {}

void KillOwner(History* history) {
  history->At(Milliseconds(9000),
              [history] { history->Kill(history->Owner()); });
}

void KillThird(History* history) {
  history->At(Milliseconds(9000), [history] {
    for (std::size_t i = 0; i < history->daemons.size(); i += 3)
      history->Kill(i);
    history->Kill(history->Owner());
  });
}

void RestartOwner(History* history) {
  KillOwner(history);
  history->At(Milliseconds(11'000),
              [history] { history->Start(history->Owner()); });
}

void OwnerLeaves(History* history) {
  history->At(Milliseconds(9000),
              [history] { history->daemons[history->Owner()].leaving = true; });
  history->At(Milliseconds(14'000),
              [history] { history->Kill(history->Owner()); });
}

void FreezeOwner(History* history) {
  history->At(Milliseconds(9000), [history] {
    history->daemons[history->Owner()].frozen_until =
        history->now + Milliseconds(4000);
  });
}

void RestartAll(History* history) {
  history->At(Milliseconds(9000), [history] {
    for (std::size_t i = 0; i < history->daemons.size(); ++i)
      history->Start(i);
  });
}

void Partition(History* history, int islands) {
  history->At(Milliseconds(9000), [history, islands] {
    for (History::Daemon& daemon : history->daemons)
      daemon.island = static_cast<int>(history->random() %
                                       static_cast<std::uint64_t>(islands));
  });
  history->At(Milliseconds(18'000), [history] {
    for (History::Daemon& daemon : history->daemons)
      daemon.island = 0;
  });
}

void Halves(History* history) {
  Partition(history, 2);
}

void Thirds(History* history) {
  Partition(history, 3);
}

void OneByOne(History* history) {
  Partition(history, 100'000);
}

/// One fault after the other, at daemons that own or are next to own.
void AnyFaults(History* history) {
  for (int at = 3000; at < 24'000; at += 700) {
    history->At(Milliseconds(at), [history] {
      const std::size_t i = history->random() % 2 == 0
                                ? history->Owner()
                                : history->random() % history->daemons.size();
      History::Daemon& daemon = history->daemons[i];
      switch (history->random() % 4) {
        case 0:
          history->Kill(i);
          break;
        case 1:
          history->Start(i);
          break;
        case 2:
          daemon.frozen_until =
              history->now + Milliseconds(history->random() % 3000);
          break;
        default:
          daemon.island = 1 - daemon.island;
      }
    });
  }
}

struct Row {
  const char* name;
  Plan plan;
  /// Of a team at 0.3 of its limit, about 700 requests; -1 for any number. In
  /// a partition, daemons that find no owner in time refuse their first one.
  int most_refused;
};

const Row kRows[] = {
    {"steady", Steady, 0},
    {"owner killed", KillOwner, 0},
    {"owner killed and started again", RestartOwner, 0},
    {"a third killed", KillThird, 0},
    {"owner leaves", OwnerLeaves, 0},
    {"owner frozen", FreezeOwner, 0},
    {"all restarted", RestartAll, 0},
    {"halves", Halves, 1},
    {"thirds", Thirds, 1},
    {"cut off one by one", OneByOne, -1},
    {"any faults", AnyFaults, -1},
};

constexpr int kSizes[] = {13, 143};

}  // namespace

TEST_GROUP(QuotaHistory){};

/// Guards against two daemons that both grant the whole limit: after a
/// partition, a freeze or a restart of the owner, under four times the limit.
TEST(QuotaHistory, NoWindowExceedsTheBound) {
  for (const Row& row : kRows) {
    for (const int size : kSizes) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        History history(size, seed);
        row.plan(&history);
        history.load = 0.3;
        history.Run(Milliseconds(7000 + 1000 * static_cast<int>(seed)));
        history.load = 4;
        history.Run(Milliseconds(26'000));
        const std::string text =
            std::string(row.name) + " daemons=" + std::to_string(size) +
            " seed=" + std::to_string(seed) +
            " worst=" + std::to_string(history.WorstWindow());
        CHECK_TEXT(history.WorstWindow() <= 1, text.c_str());
        CHECK_TEXT(history.longest_wait <= Milliseconds(500), text.c_str());
      }
    }
  }
}

/// Guards against an owner that goes on by the limit of an old configuration.
TEST(QuotaHistory, ALoweredLimitIsBindingAWindowLater) {
  History history(13, 1);
  for (std::size_t i = 0; i < history.daemons.size(); ++i) {
    history.At(Milliseconds(9000 + 200 * i), [&history, i] {
      history.daemons[i].limit = {kRate / 4, kRate / 4, 2};
    });
  }
  history.load = 4;
  history.Run(Milliseconds(30'000));
  CHECK(history.WorstWindow(kRate / 4, Milliseconds(9000 + 2600)) <= 1);
}

/// Guards against a change of the owner that callers of a team far below its
/// limit notice.
TEST(QuotaHistory, ATeamBelowItsLimitIsServed) {
  for (const Row& row : kRows) {
    for (const int size : kSizes) {
      for (std::uint64_t seed = 1; row.most_refused >= 0 && seed <= 3; ++seed) {
        History history(size, seed);
        row.plan(&history);
        history.load = 0.3;
        history.Run(Milliseconds(26'000));
        const std::string text =
            std::string(row.name) + " daemons=" + std::to_string(size) +
            " seed=" + std::to_string(seed) +
            " refused=" + std::to_string(history.refused) +
            " wait=" + std::to_string(history.longest_wait.count());
        CHECK_TEXT(history.refused <= row.most_refused, text.c_str());
      }
    }
  }
}
