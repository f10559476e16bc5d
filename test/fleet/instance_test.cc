#include "crocusmast/fleet/instance.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/factories.h"

namespace {

using namespace crocusmast;
using fleet::Instance;
using fleet::InstanceEvent;
using fleet::InstanceRecord;
using fleet::InstanceState;

class InstanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceTest);
  CPPUNIT_TEST(LeavingStateSurvivesAnOutdatedReport);
  CPPUNIT_TEST(ReplacementAtTheSameAddressIsLive);
  CPPUNIT_TEST(ReportOfAnOlderIncarnationIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeavingStateSurvivesAnOutdatedReport() {
    Instance instance(test::MakeTarget("t", "p"));
    CPPUNIT_ASSERT(instance.SetLeaving(core::Incarnation(1)) ==
                   InstanceEvent::kStartedLeaving);
    CPPUNIT_ASSERT(instance.ApplyReport(test::MakeTarget("t", "p")) ==
                   InstanceEvent::kUnchanged);
    CPPUNIT_ASSERT(!instance.IsLive());
  }

  void ReplacementAtTheSameAddressIsLive() {
    Instance instance(test::MakeTarget("t", "p"));
    instance.SetLeaving(core::Incarnation(1));
    InstanceRecord next = test::MakeTarget("t", "p");
    next.incarnation = core::Incarnation(2);
    CPPUNIT_ASSERT(instance.ApplyReport(next) == InstanceEvent::kReplaced);
    CPPUNIT_ASSERT(instance.IsLive());
    CPPUNIT_ASSERT(instance.SetLeaving(core::Incarnation(1)) ==
                   InstanceEvent::kUnchanged);
    CPPUNIT_ASSERT(instance.IsLive());
  }

  void ReportOfAnOlderIncarnationIsIgnored() {
    InstanceRecord second = test::MakeTarget("t", "p");
    second.incarnation = core::Incarnation(2);
    Instance instance(second);
    InstanceRecord first = test::MakeTarget("t", "other");
    first.state = InstanceState::kLeaving;
    CPPUNIT_ASSERT(instance.ApplyReport(first) == InstanceEvent::kUnchanged);
    CPPUNIT_ASSERT(instance.IsLive());
    CPPUNIT_ASSERT_EQUAL(std::string("p"), instance.Record().pool.Text());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(InstanceTest, "fleet");

}  // namespace
