#include "crocusmast/configuration/configuration.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

#include "test/support/factories.h"

namespace {

using namespace crocusmast;
using configuration::Change;
using configuration::Configuration;
using configuration::PlanLists;
using configuration::Row;
using test::MakeAllowance;
using test::MakeEdit;
using test::MakePlan;

PlanLists MakeLists(const std::vector<Row>& rows) {
  return PlanLists::Create(rows).value();
}

std::string ErrorOf(const std::function<core::Result<void>()>& attempt) {
  std::string text;
  core::Handle(attempt,
               [&](const core::Error& error) { text = core::Describe(error); });
  return text;
}

std::string ConflictOf(const Configuration& configuration,
                       const configuration::Edit& edit) {
  return ErrorOf([&]() -> core::Result<void> {
    BOOST_LEAF_CHECK(configuration.Propose(edit));
    return {};
  });
}

void Apply(Configuration& configuration, const configuration::Edit& edit) {
  const Change change = configuration.Propose(edit).value();
  CPPUNIT_ASSERT(configuration.ApplyChange(change).value());
}

/** @brief Headroom of each plan: the reference model of the lists. */
using Headrooms = std::map<int, std::uint64_t>;

PlanLists ToLists(const Headrooms& headrooms) {
  std::vector<Row> rows;
  for (const auto& [plan, headroom] : headrooms) {
    rows.emplace_back(MakePlan("plan-" + std::to_string(plan), headroom));
  }
  return MakeLists(rows);
}

/** @brief Merges row by row into the reference model; false on a conflict. */
bool MergeWithReferenceRules(const std::vector<Headrooms>& versions,
                             std::size_t base,
                             const Headrooms& wanted,
                             Headrooms& current) {
  Headrooms merged = current;
  for (int plan = 0; plan < 5; ++plan) {
    const auto value = [plan](const Headrooms& rows) -> std::int64_t {
      const auto row = rows.find(plan);
      return row == rows.end() ? -1 : static_cast<std::int64_t>(row->second);
    };
    if (value(wanted) == value(versions[base]) ||
        value(wanted) == value(current)) {
      continue;
    }
    for (std::size_t later = base + 1; later < versions.size(); ++later) {
      if (value(versions[later]) != value(versions[later - 1])) {
        return false;
      }
    }
    if (value(wanted) < 0) {
      merged.erase(plan);
    } else {
      merged[plan] = static_cast<std::uint64_t>(value(wanted));
    }
  }
  current = merged;
  return true;
}

class ConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(ErrorsNameRowFieldAndAllowedRange);
  CPPUNIT_TEST(EditsOfDifferentRowsMerge);
  CPPUNIT_TEST(ConflictNamesBothValuesAuthorAndTime);
  CPPUNIT_TEST(StaleFileRevertsNothing);
  CPPUNIT_TEST(RevisionNeverDecreases);
  CPPUNIT_TEST(MergeAgreesWithReferenceImplementation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ErrorsNameRowFieldAndAllowedRange() {
    const auto error = [](const std::vector<Row>& rows) {
      return ErrorOf([&]() -> core::Result<void> {
        BOOST_LEAF_CHECK(PlanLists::Create(rows));
        return {};
      });
    };
    CPPUNIT_ASSERT_EQUAL(
        std::string("validate lists (plans[a]): field 'headroom' is 501; "
                    "allowed are 0 to 500"),
        error({MakePlan("a", 501)}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("validate lists (allowances[b/k]): field 'plan' is 'b', "
                    "which is not in the list of plans"),
        error({MakePlan("a"), MakeAllowance("b", "k", "p", 1)}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("validate lists (plans[a]): the row occurs more "
                    "than once"),
        error({MakePlan("a"), MakePlan("a")}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("validate lists (allowances[a/k]): field 'slots' is 0; "
                    "allowed are 1 to 1000000"),
        error({MakePlan("a"), MakeAllowance("a", "k", "p", 0)}));
  }

  void EditsOfDifferentRowsMerge() {
    Configuration configuration;
    Apply(configuration,
          MakeEdit("c1", 0, MakeLists({MakePlan("a"), MakePlan("b")})));
    Apply(configuration,
          MakeEdit("c2", 1, MakeLists({MakePlan("a", 30), MakePlan("b")})));
    Apply(configuration,
          MakeEdit("c3", 1, MakeLists({MakePlan("a"), MakePlan("b", 40)})));
    const PlanLists expected =
        MakeLists({MakePlan("a", 30), MakePlan("b", 40)});
    CPPUNIT_ASSERT(
        configuration.CurrentLists()->DifferenceTo(expected).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                         configuration.CurrentRevision().Count());
  }

  void ConflictNamesBothValuesAuthorAndTime() {
    Configuration configuration;
    Apply(configuration, MakeEdit("c1", 0, MakeLists({MakePlan("a")})));
    Apply(configuration,
          MakeEdit("c2", 1, MakeLists({MakePlan("a", 30)}), "bob"));
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "merge edit (plans[a]): conflict: you want {customer=Customer "
            "availability=90 headroom=40}, but revision 2 by bob at "
            "1970-01-01T00:00:00Z set {customer=Customer availability=90 "
            "headroom=30}"),
        ConflictOf(configuration,
                   MakeEdit("c3", 1, MakeLists({MakePlan("a", 40)}))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         configuration.CurrentRevision().Count());
  }

  void StaleFileRevertsNothing() {
    Configuration configuration;
    const PlanLists old_file = MakeLists({MakePlan("a")});
    Apply(configuration, MakeEdit("c1", 0, old_file));
    Apply(configuration, MakeEdit("c2", 1, MakeLists({MakePlan("a", 30)})));
    const Change change =
        configuration.Propose(MakeEdit("c3", 1, old_file)).value();
    CPPUNIT_ASSERT(change.rows.empty());
  }

  void RevisionNeverDecreases() {
    Configuration configuration;
    Apply(configuration, MakeEdit("c1", 0, MakeLists({MakePlan("a")})));
    const Change second =
        configuration.Propose(MakeEdit("c2", 1, MakeLists({}))).value();
    CPPUNIT_ASSERT(configuration.ApplyChange(second).value());
    CPPUNIT_ASSERT(!configuration.ApplyChange(second).value());
    CPPUNIT_ASSERT(!configuration.Restore({core::Revision(1), PlanLists()}));
    CPPUNIT_ASSERT(!configuration.Restore({core::Revision(2), PlanLists()}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         configuration.CurrentRevision().Count());
  }

  void MergeAgreesWithReferenceImplementation() {
    CPPUNIT_ASSERT(
        rc::check("merge agrees with the reference implementation", [] {
          Configuration configuration;
          std::vector<Headrooms> versions{{}};
          const int edits = *rc::gen::inRange(1, 8);
          for (int index = 0; index < edits; ++index) {
            const auto base =
                *rc::gen::inRange<std::size_t>(0, versions.size());
            Headrooms wanted = versions[base];
            const int plan = *rc::gen::inRange(0, 5);
            if (*rc::gen::inRange(0, 4) == 0) {
              wanted.erase(plan);
            } else {
              wanted[plan] = *rc::gen::inRange<std::uint64_t>(0, 3);
            }
            wanted[*rc::gen::inRange(0, 5)] =
                *rc::gen::inRange<std::uint64_t>(0, 3);
            Headrooms current = versions.back();
            const bool is_merged =
                MergeWithReferenceRules(versions, base, wanted, current);
            const configuration::Edit edit =
                MakeEdit("c" + std::to_string(index), base, ToLists(wanted));
            RC_ASSERT(is_merged == ConflictOf(configuration, edit).empty());
            if (!is_merged) {
              continue;
            }
            const Change change = configuration.Propose(edit).value();
            RC_ASSERT(change.rows.empty() == (current == versions.back()));
            if (!change.rows.empty()) {
              RC_ASSERT(configuration.ApplyChange(change).value());
              versions.push_back(current);
            }
            RC_ASSERT(configuration.CurrentLists()
                          ->DifferenceTo(ToLists(versions.back()))
                          .empty());
            RC_ASSERT(configuration.CurrentRevision().Count() ==
                      versions.size() - 1);
          }
        }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ConfigurationTest, "configuration");

}  // namespace
