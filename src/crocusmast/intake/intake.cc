#include "crocusmast/intake/intake.h"

#include <string_view>
#include <utility>

namespace crocusmast::intake {
namespace internal {

constexpr std::size_t kJobIdLength = 16;

/** @brief Returns the job's id, or an empty one if the text is none. */
core::JobId ReadJobId(std::string_view text) {
  const bool is_hex = text.size() == kJobIdLength &&
                      text.find_first_not_of("0123456789abcdefABCDEF") ==
                          std::string_view::npos;
  if (!is_hex) {
    return {};
  }
  return core::Handle([text] { return core::JobId::Create(text); },
                      [](const core::Error&) { return core::JobId(); });
}

std::string_view KindName(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::kAccepted:
      return "accepted";
    case AnswerKind::kState:
      return "state";
    case AnswerKind::kCount:
      return "count";
    case AnswerKind::kCancelled:
      return "cancelled";
    case AnswerKind::kNoQueue:
      return "no queue";
    case AnswerKind::kNoJob:
      return "no job";
    case AnswerKind::kBadRequest:
      return "bad request";
    case AnswerKind::kTaken:
      return "id taken";
    case AnswerKind::kNotNow:
      return "not now";
    case AnswerKind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace internal

using job::StoreOutcome;

Intake::Intake(const IntakePorts& ports, job::JobBook& book)
    : m_ports(ports), m_book(book) {}

void Intake::Handle(CallerRequest&& request) {
  if (m_directory == nullptr || m_directory->Version().Count() == 0) {
    Reply(request.exchange, AnswerKind::kNotNow, {},
          "no configuration has been read yet");
    return;
  }
  const queue::Queue* queue = m_directory->Match(request.host, request.path);
  if (queue == nullptr) {
    Reply(request.exchange, AnswerKind::kNoQueue, {},
          "no queue has this host and path");
    return;
  }
  switch (request.verb) {
    case Verb::kSubmit:
      Submit(std::move(request), *queue);
      break;
    case Verb::kShow:
      if (request.path.size() == queue->prefix.size()) {
        Count(request, *queue);
      } else {
        Show(request, *queue);
      }
      break;
    case Verb::kCancel:
      Cancel(request, *queue);
      break;
  }
}

void Intake::Submit(CallerRequest&& request, const queue::Queue& queue) {
  const core::JobId id = internal::ReadJobId(
      std::string_view(request.path).substr(queue.prefix.size()));
  if (id.IsEmpty()) {
    Reply(request.exchange, AnswerKind::kBadRequest, {},
          "the path does not end in a job id of 16 hexadecimal digits");
    return;
  }
  if (!request.spec) {
    Reply(request.exchange, AnswerKind::kBadRequest, id, request.problem);
    return;
  }
  const std::string problem = core::Handle(
      [&request]() -> core::Result<std::string> {
        BOOST_LEAF_CHECK(job::Validate(*request.spec));
        return std::string();
      },
      [](const core::Error& error) { return Describe(error); });
  if (!problem.empty()) {
    Reply(request.exchange, AnswerKind::kBadRequest, id, problem);
    return;
  }
  if (const job::JobEntry* known = m_book.Find(id); known != nullptr) {
    const bool is_same = known->job.queue == queue.id;
    Reply(request.exchange,
          is_same ? AnswerKind::kAccepted : AnswerKind::kTaken, id,
          is_same ? "" : "a job of another queue has this id");
    return;
  }
  Pending waiting;
  waiting.verb = Verb::kSubmit;
  waiting.job = {id, queue.id, m_ports.clock.WallNow(),
                 std::move(*request.spec)};
  waiting.deadline = request.deadline;
  waiting.began_at = m_ports.clock.Now();
  m_ports.store.Create(request.exchange, waiting.job);
  m_waiting.emplace(request.exchange.Count(), std::move(waiting));
}

void Intake::Show(const CallerRequest& request, const queue::Queue& queue) {
  const core::JobId id = internal::ReadJobId(
      std::string_view(request.path).substr(queue.prefix.size()));
  if (id.IsEmpty()) {
    Reply(request.exchange, AnswerKind::kNoJob, {}, "this is no job id");
    return;
  }
  if (const job::JobEntry* known = m_book.Find(id); known != nullptr) {
    Answer answer;
    answer.exchange = request.exchange;
    answer.kind = AnswerKind::kState;
    answer.state = known->State();
    Send(std::move(answer), id);
    return;
  }
  Pending waiting;
  waiting.verb = Verb::kShow;
  waiting.job.id = id;
  waiting.deadline = request.deadline;
  m_ports.store.Read(request.exchange, id);
  m_waiting.emplace(request.exchange.Count(), std::move(waiting));
}

void Intake::Cancel(const CallerRequest& request, const queue::Queue& queue) {
  const core::JobId id = internal::ReadJobId(
      std::string_view(request.path).substr(queue.prefix.size()));
  if (id.IsEmpty()) {
    Reply(request.exchange, AnswerKind::kNoJob, {}, "this is no job id");
    return;
  }
  Pending waiting;
  waiting.verb = Verb::kCancel;
  waiting.job.id = id;
  waiting.deadline = request.deadline;
  waiting.began_at = m_ports.clock.Now();
  const job::JobEntry* known = m_book.Find(id);
  if (known != nullptr && job::IsFinal(known->State())) {
    Reply(request.exchange, AnswerKind::kCancelled, id, "");
    return;
  }
  if (known == nullptr) {
    m_ports.store.Read(request.exchange, id);
  } else {
    m_ports.store.Cancel(request.exchange, id);
  }
  m_waiting.emplace(request.exchange.Count(), std::move(waiting));
}

void Intake::Count(const CallerRequest& request, const queue::Queue& queue) {
  if (m_book_current_at + kCountMaxAge < m_ports.clock.Now()) {
    Reply(request.exchange, AnswerKind::kNotNow, {},
          "the jobs of the store have not been read lately");
    return;
  }
  Answer answer;
  answer.exchange = request.exchange;
  answer.kind = AnswerKind::kCount;
  answer.count = m_book.CountQueued(queue.id);
  Send(std::move(answer), {});
}

void Intake::Handle(const job::JobWritten& written) {
  const auto found = m_waiting.find(written.exchange.Count());
  if (found == m_waiting.end()) {
    return;
  }
  Pending& waiting = found->second;
  const bool is_unclear = written.outcome == StoreOutcome::kUnknown ||
                          written.outcome == StoreOutcome::kRefused;
  waiting.is_uncertain =
      waiting.is_uncertain || written.outcome == StoreOutcome::kUnknown;
  if (is_unclear && waiting.is_uncertain && MayRepeat(waiting)) {
    waiting.repeat_at =
        m_ports.clock.Now() + kRepeatPause * (1U << waiting.repeats);
    ++waiting.repeats;
    return;
  }
  Pending done = std::move(waiting);
  m_waiting.erase(found);
  if (done.verb == Verb::kSubmit) {
    FinishSubmit(written.exchange, done, written.outcome);
  } else {
    FinishCancel(written.exchange, done, written.outcome);
  }
}

void Intake::Tick() {
  const core::TimePoint now = m_ports.clock.Now();
  for (auto& [number, waiting] : m_waiting) {
    if (!waiting.repeat_at || now < *waiting.repeat_at) {
      continue;
    }
    waiting.repeat_at.reset();
    if (waiting.verb == Verb::kSubmit) {
      m_ports.store.Create(job::ExchangeId(number), waiting.job);
    } else {
      m_ports.store.Cancel(job::ExchangeId(number), waiting.job.id);
    }
  }
}

bool Intake::MayRepeat(const Pending& waiting) const {
  return waiting.repeats < kMaxRepeats &&
         m_ports.clock.Now() + kRepeatReserve < waiting.deadline;
}

void Intake::FinishSubmit(job::ExchangeId exchange,
                          Pending& waiting,
                          StoreOutcome outcome) {
  const core::JobId id = waiting.job.id;
  switch (outcome) {
    case StoreOutcome::kDone:
      m_ports.meter.Observe(core::Timing::kQueueWait,
                            m_ports.clock.Now() - waiting.began_at);
      m_book.Apply(job::JobStored{std::move(waiting.job)}, m_ports.clock.Now());
      Reply(exchange, AnswerKind::kAccepted, id, "");
      break;
    case StoreOutcome::kConflict:
      Reply(exchange, AnswerKind::kAccepted, id, "it was stored before");
      break;
    case StoreOutcome::kAbsent:
    case StoreOutcome::kRefused:
      Reply(exchange,
            waiting.is_uncertain ? AnswerKind::kUnknown : AnswerKind::kNotNow,
            id, "the store refused the job");
      break;
    case StoreOutcome::kUnknown:
      Reply(exchange, AnswerKind::kUnknown, id, "the store did not answer");
      break;
  }
}

void Intake::FinishCancel(job::ExchangeId exchange,
                          Pending& waiting,
                          StoreOutcome outcome) {
  if (outcome == StoreOutcome::kDone) {
    m_book.Apply(job::CancelStored{waiting.job.id}, m_ports.clock.Now());
    Reply(exchange, AnswerKind::kCancelled, waiting.job.id, "");
    return;
  }
  const bool is_unclear =
      outcome == StoreOutcome::kUnknown || waiting.is_uncertain;
  Reply(exchange, is_unclear ? AnswerKind::kUnknown : AnswerKind::kNotNow,
        waiting.job.id, "the store did not take the cancel");
}

void Intake::Handle(job::JobRead&& read) {
  const auto found = m_waiting.find(read.exchange.Count());
  if (found == m_waiting.end()) {
    return;
  }
  Pending waiting = std::move(found->second);
  m_waiting.erase(found);
  const core::JobId id = waiting.job.id;
  if (read.outcome == StoreOutcome::kAbsent) {
    Reply(read.exchange, AnswerKind::kNoJob, id, "there is no such job");
    return;
  }
  if (read.outcome != StoreOutcome::kDone) {
    Reply(read.exchange, AnswerKind::kNotNow, id, "the store did not answer");
    return;
  }
  for (job::JobEvent& event : read.events) {
    m_book.Apply(std::move(event), m_ports.clock.Now());
  }
  const job::JobEntry* known = m_book.Find(id);
  if (known == nullptr) {
    Reply(read.exchange, AnswerKind::kNoJob, id, "there is no such job");
    return;
  }
  if (waiting.verb == Verb::kCancel && !job::IsFinal(known->State())) {
    m_ports.store.Cancel(read.exchange, id);
    m_waiting.emplace(read.exchange.Count(), std::move(waiting));
    return;
  }
  Answer answer;
  answer.exchange = read.exchange;
  answer.kind = waiting.verb == Verb::kCancel ? AnswerKind::kCancelled
                                              : AnswerKind::kState;
  answer.state = known->State();
  Send(std::move(answer), id);
}

void Intake::Reply(job::ExchangeId exchange,
                   AnswerKind kind,
                   const core::JobId& job,
                   std::string detail) {
  Answer answer;
  answer.exchange = exchange;
  answer.kind = kind;
  answer.detail = std::move(detail);
  answer.retry_after = kStoreRetryAfter;
  Send(std::move(answer), job);
}

void Intake::Send(Answer answer, const core::JobId& job) {
  const bool is_served = answer.kind == AnswerKind::kAccepted ||
                         answer.kind == AnswerKind::kState ||
                         answer.kind == AnswerKind::kCount ||
                         answer.kind == AnswerKind::kCancelled;
  m_ports.meter.Add(is_served ? core::Counter::kRequestsAnswered
                              : core::Counter::kRequestsRefused,
                    1);
  if (m_ports.logger.IsEnabled(core::Severity::kInfo)) {
    const std::string kind(internal::KindName(answer.kind));
    std::string sentence = "Answered " + kind;
    if (!job.IsEmpty()) {
      sentence += " for job " + job.Text();
    }
    if (answer.kind == AnswerKind::kState) {
      sentence += ": " + std::string(job::StateName(answer.state));
    }
    if (!answer.detail.empty()) {
      sentence += ": " + answer.detail;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_ports.clock.Now() - m_book_current_at);
    m_ports.logger.Write(
        {core::Part::kIntake,
         core::Severity::kInfo,
         sentence + ".",
         {{"event", "answered"},
          {"job", job.Text()},
          {"answer", kind},
          {"version",
           std::to_string(m_directory ? m_directory->Version().Count() : 0)},
          {"book_age_ms", std::to_string(age.count())}}});
  }
  m_ports.answers.Send(std::move(answer));
}

}  // namespace crocusmast::intake
