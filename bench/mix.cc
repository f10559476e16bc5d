#include "bench/mix.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "crocusmast/adapters/json_reader.h"

namespace bench {
namespace internal {

namespace core = crocusmast::core;
using crocusmast::adapters::internal::Json;
using crocusmast::adapters::internal::JsonObjectReader;

core::Result<MixEntry> ReadEntry(const Json& json,
                                 const std::string& location) {
  const JsonObjectReader reader(json, location, core::Operation::kReadFile);
  BOOST_LEAF_CHECK(reader.CheckFields({"plan", "kind", "urgency", "repeatable",
                                       "weight", "body_bytes", "deadline_ms"}));
  MixEntry entry;
  BOOST_LEAF_ASSIGN(entry.plan, reader.Text("plan"));
  BOOST_LEAF_ASSIGN(entry.kind, reader.Text("kind"));
  BOOST_LEAF_ASSIGN(entry.urgency, reader.Text("urgency"));
  BOOST_LEAF_ASSIGN(entry.repeatable, reader.Text("repeatable"));
  BOOST_LEAF_AUTO(weight, reader.Number("weight"));
  BOOST_LEAF_AUTO(body_bytes, reader.Number("body_bytes"));
  BOOST_LEAF_AUTO(deadline, reader.Number("deadline_ms"));
  entry.weight = static_cast<double>(weight);
  entry.body_bytes = body_bytes;
  entry.deadline = std::chrono::milliseconds(deadline);
  return entry;
}

}  // namespace internal

crocusmast::core::Result<std::vector<MixEntry>> ReadMix(
    const std::string& file_name) {
  namespace core = crocusmast::core;
  std::ifstream file(file_name);
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  BOOST_LEAF_AUTO(json, crocusmast::adapters::internal::ParseStrictJson(
                            text, file_name, core::Operation::kReadFile));
  if (!json.is_array() || json.empty()) {
    return core::Fail(core::Operation::kReadFile, file_name,
                      "expected a non-empty array of entries");
  }
  std::vector<MixEntry> entries;
  for (std::size_t index = 0; index < json.size(); ++index) {
    const std::string location =
        file_name + " entry " + std::to_string(index + 1);
    BOOST_LEAF_AUTO(entry, internal::ReadEntry(json[index], location));
    entries.push_back(std::move(entry));
  }
  return entries;
}

}  // namespace bench
