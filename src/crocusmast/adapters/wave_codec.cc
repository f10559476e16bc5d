#include "crocusmast/adapters/wave_codec.h"

#include <utility>
#include <vector>

#include "crocusmast/adapters/json_reader.h"

namespace crocusmast::adapters {

using core::Operation;
using internal::Json;
using internal::JsonObjectReader;
using maintenance::ItemState;
using maintenance::Wave;
using maintenance::WaveItem;
using maintenance::WaveState;

namespace internal {

std::uint64_t ToMilliseconds(core::WallTime time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch())
          .count());
}

core::WallTime FromMilliseconds(std::uint64_t count) {
  return core::WallTime(std::chrono::milliseconds(count));
}

core::Result<ItemState> ReadItemState(const JsonObjectReader& reader) {
  BOOST_LEAF_AUTO(text, reader.Text("state"));
  for (const ItemState state :
       {ItemState::kPending, ItemState::kDraining, ItemState::kRebooting,
        ItemState::kDone, ItemState::kSkipped}) {
    if (text == maintenance::ItemStateName(state)) {
      return state;
    }
  }
  return reader.FieldError("state", "'" + text + "' is unknown");
}

core::Result<WaveState> ReadWaveState(const JsonObjectReader& reader) {
  BOOST_LEAF_AUTO(text, reader.Text("state"));
  for (const WaveState state :
       {WaveState::kRunning, WaveState::kPaused, WaveState::kDone}) {
    if (text == maintenance::WaveStateName(state)) {
      return state;
    }
  }
  return reader.FieldError("state", "'" + text + "' is unknown");
}

core::Result<WaveItem> ReadItem(const Json& json) {
  const JsonObjectReader reader(json, "wave", Operation::kReadStore);
  BOOST_LEAF_CHECK(reader.CheckFields(
      {"instance", "pool", "incarnation", "state", "since", "reason"}));
  WaveItem item;
  BOOST_LEAF_ASSIGN(item.instance, reader.ReadId<core::InstanceId>("instance"));
  BOOST_LEAF_ASSIGN(item.pool, reader.ReadId<core::PoolId>("pool"));
  BOOST_LEAF_AUTO(incarnation, reader.Number("incarnation"));
  BOOST_LEAF_ASSIGN(item.state, ReadItemState(reader));
  BOOST_LEAF_AUTO(since, reader.Number("since"));
  BOOST_LEAF_ASSIGN(item.reason, reader.Text("reason"));
  item.incarnation = core::Incarnation(incarnation);
  item.since = FromMilliseconds(since);
  return item;
}

}  // namespace internal

std::string FormatWave(const Wave& wave) {
  Json items = Json::array();
  for (const WaveItem& item : wave.Items()) {
    items.push_back(Json{{"instance", item.instance.Text()},
                         {"pool", item.pool.Text()},
                         {"incarnation", item.incarnation.Count()},
                         {"state", maintenance::ItemStateName(item.state)},
                         {"since", internal::ToMilliseconds(item.since)},
                         {"reason", item.reason}});
  }
  return Json{{"state", maintenance::WaveStateName(wave.State())},
              {"started_at", internal::ToMilliseconds(wave.StartedAt())},
              {"note", wave.BlockReason()},
              {"items", std::move(items)}}
      .dump();
}

core::Result<Wave> ParseWave(std::string_view text) {
  BOOST_LEAF_AUTO(
      json, internal::ParseStrictJson(text, "wave", Operation::kReadStore));
  const JsonObjectReader reader(json, "wave", Operation::kReadStore);
  BOOST_LEAF_CHECK(
      reader.CheckFields({"state", "started_at", "note", "items"}));
  BOOST_LEAF_AUTO(state, internal::ReadWaveState(reader));
  BOOST_LEAF_AUTO(started_at, reader.Number("started_at"));
  BOOST_LEAF_AUTO(block_reason, reader.Text("note"));
  BOOST_LEAF_AUTO(items_json, reader.Array("items"));
  std::vector<WaveItem> items;
  for (const Json& item_json : *items_json) {
    BOOST_LEAF_AUTO(item, internal::ReadItem(item_json));
    items.push_back(std::move(item));
  }
  return Wave::Restore(state, internal::FromMilliseconds(started_at),
                       std::move(items), std::move(block_reason));
}

}  // namespace crocusmast::adapters
