#include "crocusmast/configuration/configuration.h"

#include <string>

#include "crocusmast/core/wall_time.h"

namespace crocusmast::configuration {
namespace internal {

boost::leaf::error_id Conflict(const RowChange& wanted, const Change& other) {
  std::optional<Row> other_value;
  for (const RowChange& row : other.rows) {
    if (row.key == wanted.key) {
      other_value = row.after;
    }
  }
  return core::Fail(
      core::Operation::kMergeEdit, Describe(wanted.key),
      "conflict: you want {" + Describe(wanted.after) + "}, but revision " +
          std::to_string(other.revision.Count()) + " by " +
          other.origin.author + " at " + core::FormatTime(other.origin.at) +
          " set {" + Describe(other_value) + "}");
}

bool IsAlreadyApplied(const RowChange& wanted, const PlanLists& current) {
  const auto found = current.Rows().find(wanted.key);
  if (found == current.Rows().end()) {
    return !wanted.after.has_value();
  }
  return wanted.after.has_value() && *wanted.after == found->second;
}

}  // namespace internal

Configuration::Configuration() : m_lists(std::make_shared<const PlanLists>()) {}

core::Result<Change> Configuration::Propose(const Edit& edit) const {
  BOOST_LEAF_AUTO(base, ListsAt(edit.base));
  std::vector<RowChange> merged;
  for (RowChange& wanted : base.DifferenceTo(edit.lists)) {
    if (internal::IsAlreadyApplied(wanted, *m_lists)) {
      continue;
    }
    if (const Change* other = LastChangeOf(wanted.key, edit.base)) {
      return internal::Conflict(wanted, *other);
    }
    merged.push_back(std::move(wanted));
  }
  BOOST_LEAF_CHECK(m_lists->WithChanges(merged));
  return Change{core::Revision(m_revision.Count() + 1), edit.origin,
                std::move(merged)};
}

core::Result<bool> Configuration::ApplyChange(const Change& change) {
  if (change.revision.Count() != m_revision.Count() + 1) {
    return false;
  }
  BOOST_LEAF_AUTO(lists, m_lists->WithChanges(change.rows));
  m_lists = std::make_shared<const PlanLists>(std::move(lists));
  m_revision = change.revision;
  m_history.push_back(change);
  if (m_history.size() > kMaxHistory) {
    m_history.pop_front();
  }
  return true;
}

bool Configuration::Restore(const Snapshot& snapshot) {
  if (!(m_revision < snapshot.revision)) {
    return false;
  }
  m_revision = snapshot.revision;
  m_lists = std::make_shared<const PlanLists>(snapshot.lists);
  m_history.clear();
  return true;
}

core::Result<PlanLists> Configuration::ListsAt(core::Revision revision) const {
  const std::uint64_t oldest = m_revision.Count() - m_history.size();
  if (m_revision < revision || revision.Count() < oldest) {
    return core::Fail(core::Operation::kMergeEdit,
                      "revision " + std::to_string(revision.Count()),
                      "not available; available are " + std::to_string(oldest) +
                          " to " + std::to_string(m_revision.Count()));
  }
  std::vector<RowChange> undo;
  for (auto change = m_history.rbegin();
       change != m_history.rend() && revision < change->revision; ++change) {
    for (const RowChange& row : change->rows) {
      undo.push_back(RowChange{row.key, row.after, row.before});
    }
  }
  return m_lists->WithChanges(undo);
}

const Change* Configuration::FindChange(const core::ChangeId& id) const {
  for (const Change& change : m_history) {
    if (change.origin.id == id) {
      return &change;
    }
  }
  return nullptr;
}

const Change* Configuration::LastChangeOf(const RowKey& key,
                                          core::Revision after) const {
  for (auto change = m_history.rbegin();
       change != m_history.rend() && after < change->revision; ++change) {
    for (const RowChange& row : change->rows) {
      if (row.key == key) {
        return &*change;
      }
    }
  }
  return nullptr;
}

}  // namespace crocusmast::configuration
