#include "crocusmast/cli/maintenance_command.h"

#include <chrono>
#include <iostream>
#include <string>

#include "crocusmast/adapters/wave_codec.h"
#include "crocusmast/cli/admin_client.h"
#include "crocusmast/cli/table.h"

namespace crocusmast::cli {
namespace internal {

using core::Fail;
using core::Operation;
using core::Result;
using maintenance::ItemState;
using maintenance::Wave;
using maintenance::WaveItem;

// Extrapolates from the average time of the finished instances.
std::string EstimateEnd(const Wave& wave,
                        std::size_t done,
                        const core::Clock& clock) {
  const std::size_t remaining =
      wave.Items().size() - done - wave.Count(ItemState::kSkipped);
  if (done == 0 || remaining == 0) {
    return remaining == 0 ? "no instances left" : "not known yet";
  }
  const auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(
      clock.WallNow() - wave.StartedAt());
  const auto seconds =
      static_cast<std::size_t>(elapsed.count()) * remaining / done;
  return "in about " + std::to_string(seconds) + " s";
}

void PrintWave(const Wave& wave, const core::Clock& clock) {
  const std::size_t done = wave.Count(ItemState::kDone);
  std::cout << "The wave is " << maintenance::WaveStateName(wave.State())
            << ": " << done << " of " << wave.Items().size()
            << " instances are done and " << wave.Count(ItemState::kSkipped)
            << " were skipped. Expected end: " << EstimateEnd(wave, done, clock)
            << ".\n";
  if (!wave.BlockReason().empty()) {
    std::cout << "Reason: " << wave.BlockReason() << "\n";
  }
  Table table({"instance", "pool", "state", "reason"});
  for (const WaveItem& item : wave.Items()) {
    table.Add({item.instance.Text(), item.pool.Text(),
               std::string(maintenance::ItemStateName(item.state)),
               item.reason});
  }
  std::cout << table.Format();
}

Result<ExitCode> PrintResult(const std::string& text, bool is_json) {
  if (text == "{}") {
    std::cerr << "No wave has been started.\n";
    return ExitCode::kDifference;
  }
  BOOST_LEAF_AUTO(wave, adapters::ParseWave(text));
  if (is_json) {
    std::cout << text << "\n";
  } else {
    PrintWave(wave, core::SystemClock());
  }
  return ExitCode::kSuccess;
}

}  // namespace internal

core::Result<ExitCode> RunMaintenance(const Arguments& arguments) {
  const std::string action =
      arguments.operands.size() == 1 ? arguments.operands[0] : "";
  const AdminClient client(arguments.instances, arguments.token);
  if (action == "status") {
    BOOST_LEAF_AUTO(text, client.Get("/maintenance"));
    return internal::PrintResult(text, arguments.is_json);
  }
  if (action != "start" && action != "pause" && action != "resume") {
    return internal::Fail(internal::Operation::kParseSettings, "maintenance",
                          "give one of start, pause, resume, status");
  }
  BOOST_LEAF_AUTO(
      text,
      client.Put("/maintenance/" + action + "?pools=" + arguments.pools, ""));
  return internal::PrintResult(text, arguments.is_json);
}

}  // namespace crocusmast::cli
