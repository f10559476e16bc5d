#ifndef TEST_SCHEDULING_SUCCESSOR_FIXTURE_H_
#define TEST_SCHEDULING_SUCCESSOR_FIXTURE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "test/scheduling/held_run_fixture.h"

namespace test {

/** @brief Successive leaders, each of which continues from what is stored. */
class SuccessorFixture : public HeldRunFixture {
 protected:
  // What was stored last, as a leader that is killed leaves it.
  job::HandoverState StoredHandover() const {
    job::HandoverState handover;
    for (const job::Commit& commit : m_fixture.store.commits) {
      handover = commit.handover.value_or(handover);
    }
    return handover;
  }

  void BeginNextTerm(const job::HandoverState& handover,
                     const std::vector<const char*>& workers = {"w-1", "w-2"}) {
    m_fixture.catalog.Apply(job::JobStored{m_accepted}, {});
    for (const job::Commit& commit : m_fixture.store.commits) {
      for (const job::ProgressWrite& write : commit.progress) {
        m_fixture.catalog.Apply(
            job::ProgressStored{write.id, write.progress, core::Revision(50)},
            {});
      }
    }
    m_fixture.BeginTerm(++m_token, handover);
    m_earlier_starts = m_fixture.worker_port.starts.size();
    std::vector<execution::WorkerRecord> records;
    // The last one has the least room that is enough, and is preferred.
    for (const char* worker : workers) {
      records.push_back(
          MakeWorker(worker, 1, worker == workers.back() ? 1000 : 4000));
    }
    m_fixture.SetWorkers(records);
    m_fixture.RunCycles();
  }

  std::vector<execution::StartCommand> NewStarts() const {
    const auto& starts = m_fixture.worker_port.starts;
    return {starts.begin() + static_cast<std::ptrdiff_t>(m_earlier_starts),
            starts.end()};
  }

  job::AcceptedJob m_accepted = MakeJob(kJob, {MakeStep(1)});
  core::TimePoint m_sent_at;
  std::uint64_t m_token = 100;
  std::size_t m_earlier_starts = 0;
};

}  // namespace test

#endif  // TEST_SCHEDULING_SUCCESSOR_FIXTURE_H_
