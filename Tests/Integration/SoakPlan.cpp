#include "Integration/SoakPlan.h"

#include "Integration/EntryFleet.h"

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace anvil {

static constexpr std::pair<SoakAction, std::string_view> ActionNames[] = {
    {SoakAction::Terminate, "SIGTERM"},
    {SoakAction::TerminateAndStart, "SIGTERM, started again at once"},
    {SoakAction::Hangup, "SIGHUP"},
    {SoakAction::Kill, "SIGKILL"},
    {SoakAction::Freeze, "SIGSTOP"},
    {SoakAction::Thaw, "SIGCONT"},
    {SoakAction::CrashTarget, "target crashes"},
    {SoakAction::StartTarget, "target starts"},
    {SoakAction::DrainTarget, "target drains"},
    {SoakAction::RemoveTarget, "target is removed"},
    {SoakAction::ReturnTarget, "target returns"},
    {SoakAction::ChangeKeys, "keys change"},
    {SoakAction::ChangeRoutes, "routes change"},
    {SoakAction::NameVersion, "version is named"},
    {SoakAction::CutStore, "store link is cut"},
    {SoakAction::SlowStore, "store link is slow"},
    {SoakAction::HealStore, "store link is healed"},
    {SoakAction::BeginEndlessTarget, "target sends without end"},
    {SoakAction::EndEndlessTarget, "endless target is removed"},
    {SoakAction::EndlessCallers, "callers send without end"},
};

std::string_view nameOf(SoakAction Action) {
  return std::ranges::find(ActionNames, Action,
                           &std::pair<SoakAction, std::string_view>::first)
      ->second;
}

/// Draws events from a seed.
class SoakDraw {
public:
  explicit SoakDraw(const SoakOptions &Options)
      : Options_(Options), Random_(Options.Seed_) {}

  std::vector<SoakEvent> draw() {
    for (int Vm = 1; Vm <= Options_.Vms_; ++Vm)
      drawVm("vm-" + std::to_string(Vm));
    for (const std::string &Target : EntryTargets)
      drawTarget(Target);
    drawChanges();
    drawEndless();
    if (number(0, 1) == 1)
      killAll();
    std::ranges::sort(Events_, {}, [](const SoakEvent &Event) {
      return std::tie(Event.At_, Event.Subject_, Event.Action_);
    });
    return std::move(Events_);
  }

private:
  // std::uniform_int_distribution draws other numbers in other libraries.
  std::int64_t number(std::int64_t From, std::int64_t To) {
    return From + static_cast<std::int64_t>(
                      Random_() % static_cast<std::uint64_t>(To - From + 1));
  }

  Millis time(std::int64_t From, std::int64_t To) {
    return Millis(number(From, To));
  }

  void add(Millis At, SoakAction Action, const std::string &Subject = "") {
    Events_.push_back({At, Action, Subject});
  }

  void drawVm(const std::string &Vm) {
    for (Millis At = time(300, 6000); At < Options_.Length_;
         At += time(200, 7000)) {
      int Draw = static_cast<int>(number(0, 9));
      if (Draw < 4) {
        bool IsEarly = Options_.HasEarlyStarts_ && number(0, 2) == 0;
        add(At, IsEarly ? SoakAction::TerminateAndStart : SoakAction::Terminate,
            Vm);
        if (number(0, 2) == 0)
          add(At + time(0, 4000), SoakAction::Terminate, Vm);
      } else if (Draw < 6) {
        for (std::int64_t Left = number(1, 8); Left > 0; --Left)
          add(At += time(0, 150), SoakAction::Hangup, Vm);
      } else if (Draw < 7) {
        add(At, SoakAction::Kill, Vm);
      } else if (Draw < 8) {
        add(At, SoakAction::Freeze, Vm);
        add(At += time(100, 3500), SoakAction::Thaw, Vm);
      } else {
        add(At, Draw == 8 ? SoakAction::CutStore : SoakAction::SlowStore, Vm);
        add(At += time(200, 4000), SoakAction::HealStore, Vm);
      }
    }
  }

  void drawTarget(const std::string &Target) {
    for (Millis At = time(1000, 8000); At < Options_.Length_;
         At += time(1500, 9000)) {
      if (number(0, 1) == 0) {
        add(At, SoakAction::CrashTarget, Target);
        add(At += time(50, 2000), SoakAction::StartTarget, Target);
        continue;
      }
      add(At, SoakAction::DrainTarget, Target);
      if (number(0, 1) == 0)
        add(At += time(100, 3000), SoakAction::RemoveTarget, Target);
      add(At += time(100, 3000), SoakAction::ReturnTarget, Target);
    }
  }

  void drawChanges() {
    constexpr SoakAction Changes[] = {SoakAction::ChangeKeys,
                                      SoakAction::ChangeRoutes,
                                      SoakAction::NameVersion};
    for (Millis At = time(500, 3000); At < Options_.Length_;
         At += time(500, 6000))
      for (std::int64_t Left = number(1, 6); Left > 0; --Left)
        add(At += time(0, 300), Changes[number(0, 2)]);
  }

  void drawEndless() {
    for (Millis At = time(1000, 6000); At < Options_.Length_;
         At += time(2000, 8000)) {
      add(At, SoakAction::BeginEndlessTarget);
      add(At += time(1000, 4000), SoakAction::EndEndlessTarget);
      if (Options_.HasEndlessCallers_)
        add(At += time(0, 1000), SoakAction::EndlessCallers);
    }
  }

  void killAll() {
    Millis At = time(2000, Options_.Length_.count());
    for (int Vm = 1; Vm <= Options_.Vms_; ++Vm)
      add(At, SoakAction::Kill, "vm-" + std::to_string(Vm));
  }

  const SoakOptions &Options_;
  std::mt19937_64 Random_;
  std::vector<SoakEvent> Events_;
};

std::vector<SoakEvent> drawSoak(const SoakOptions &Options) {
  return SoakDraw(Options).draw();
}

std::string endlessTargetOf(const SoakOptions &Options) {
  return Options.Seed_ % 2 == 0 ? "plain-9" : "engine-9";
}

} // namespace anvil
