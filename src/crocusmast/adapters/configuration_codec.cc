#include "crocusmast/adapters/configuration_codec.h"

#include <chrono>
#include <utility>

#include "crocusmast/adapters/rows_json.h"

namespace crocusmast::adapters {

using configuration::Change;
using configuration::ChangeOrigin;
using configuration::Edit;
using configuration::Snapshot;
using core::Operation;
using internal::Json;
using internal::JsonObjectReader;

namespace internal {

constexpr std::size_t kMaxReasonLength = 512;
constexpr std::size_t kMaxAuthorLength = 64;

core::Result<void> CheckSize(std::size_t size, const std::string& source) {
  if (size > kMaxConfigurationBytes) {
    return core::Fail(Operation::kParseLists, source,
                      std::to_string(size) + " bytes; allowed are " +
                          std::to_string(kMaxConfigurationBytes));
  }
  return {};
}

core::Result<std::optional<core::Revision>> ReadOptionalRevision(
    const Json& json,
    const JsonObjectReader& reader) {
  if (!json.contains("revision")) {
    return std::optional<core::Revision>();
  }
  BOOST_LEAF_AUTO(revision, reader.Number("revision"));
  return std::optional<core::Revision>(core::Revision(revision));
}

core::Result<std::string> ReadBoundedText(const JsonObjectReader& reader,
                                          const char* name,
                                          std::size_t max_length) {
  BOOST_LEAF_AUTO(text, reader.Text(name));
  if (text.empty() || text.size() > max_length) {
    return reader.FieldError(name, "has " + std::to_string(text.size()) +
                                       " characters; allowed are 1 to " +
                                       std::to_string(max_length));
  }
  return text;
}

core::Result<ChangeOrigin> ReadOrigin(const JsonObjectReader& reader) {
  BOOST_LEAF_AUTO(id, reader.ReadId<core::ChangeId>("change"));
  BOOST_LEAF_AUTO(author, ReadBoundedText(reader, "author", kMaxAuthorLength));
  BOOST_LEAF_AUTO(reason, ReadBoundedText(reader, "reason", kMaxReasonLength));
  return ChangeOrigin{std::move(id), std::move(author), std::move(reason), {}};
}

Json WriteOrigin(const ChangeOrigin& origin) {
  return Json{{"change", origin.id.Text()},
              {"author", origin.author},
              {"reason", origin.reason}};
}

}  // namespace internal

core::Result<ParsedConfiguration> ParseConfigurationFiles(
    const ConfigurationFiles& files) {
  BOOST_LEAF_CHECK(internal::CheckSize(files.plans.size(), "plans file"));
  BOOST_LEAF_CHECK(
      internal::CheckSize(files.allowances.size(), "allowances file"));
  BOOST_LEAF_AUTO(plans, internal::ParseStrictJson(files.plans, "plans file",
                                                   Operation::kParseLists));
  BOOST_LEAF_AUTO(allowances,
                  internal::ParseStrictJson(files.allowances, "allowances file",
                                            Operation::kParseLists));
  const JsonObjectReader plan_reader(plans, "plans file",
                                     Operation::kParseLists);
  const JsonObjectReader allowance_reader(allowances, "allowances file",
                                          Operation::kParseLists);
  BOOST_LEAF_CHECK(plan_reader.CheckFields({"revision", "plans"}));
  BOOST_LEAF_CHECK(allowance_reader.CheckFields({"revision", "allowances"}));
  BOOST_LEAF_AUTO(revision, internal::ReadOptionalRevision(plans, plan_reader));
  BOOST_LEAF_AUTO(allowance_revision,
                  internal::ReadOptionalRevision(allowances, allowance_reader));
  if (revision && allowance_revision && *revision != *allowance_revision) {
    return core::Fail(
        Operation::kParseLists, "both files",
        "field 'revision' differs; it must be the same in both files");
  }
  BOOST_LEAF_AUTO(lists, internal::ReadPlanLists(plans, allowances));
  return ParsedConfiguration{std::move(lists),
                             revision ? revision : allowance_revision};
}

ConfigurationFiles FormatConfigurationFiles(const Snapshot& snapshot) {
  constexpr int kIndent = 2;
  const Json plans{{"revision", snapshot.revision.Count()},
                   {"plans", internal::WriteRows(snapshot.lists, true)}};
  const Json allowances{
      {"revision", snapshot.revision.Count()},
      {"allowances", internal::WriteRows(snapshot.lists, false)}};
  return ConfigurationFiles{plans.dump(kIndent) + "\n",
                            allowances.dump(kIndent) + "\n"};
}

core::Result<Edit> ParseEdit(std::string_view text) {
  BOOST_LEAF_CHECK(internal::CheckSize(text.size(), "edit"));
  BOOST_LEAF_AUTO(
      json, internal::ParseStrictJson(text, "edit", Operation::kParseLists));
  const JsonObjectReader reader(json, "edit", Operation::kParseLists);
  BOOST_LEAF_CHECK(reader.CheckFields(
      {"base", "change", "author", "reason", "plans", "allowances"}));
  BOOST_LEAF_AUTO(origin, internal::ReadOrigin(reader));
  BOOST_LEAF_AUTO(base, reader.Number("base"));
  BOOST_LEAF_AUTO(lists, internal::ReadPlanLists(json, json));
  return Edit{std::move(origin), core::Revision(base), std::move(lists)};
}

std::string FormatEdit(const Edit& edit) {
  Json json = internal::WriteOrigin(edit.origin);
  json["base"] = edit.base.Count();
  json["plans"] = internal::WriteRows(edit.lists, true);
  json["allowances"] = internal::WriteRows(edit.lists, false);
  return json.dump();
}

core::Result<Change> ParseChange(std::string_view text) {
  BOOST_LEAF_AUTO(
      json, internal::ParseStrictJson(text, "change", Operation::kReadStore));
  const JsonObjectReader reader(json, "change", Operation::kReadStore);
  BOOST_LEAF_CHECK(reader.CheckFields(
      {"revision", "change", "author", "reason", "at", "rows"}));
  BOOST_LEAF_AUTO(origin, internal::ReadOrigin(reader));
  BOOST_LEAF_AUTO(revision, reader.Number("revision"));
  BOOST_LEAF_AUTO(at, reader.Number("at"));
  BOOST_LEAF_AUTO(rows, reader.Array("rows"));
  BOOST_LEAF_AUTO(changes, internal::ReadRowChanges(*rows));
  origin.at = core::WallTime(std::chrono::milliseconds(at));
  return Change{core::Revision(revision), std::move(origin),
                std::move(changes)};
}

std::string FormatChange(const Change& change) {
  Json json = internal::WriteOrigin(change.origin);
  json["revision"] = change.revision.Count();
  json["at"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                   change.origin.at.time_since_epoch())
                   .count();
  json["rows"] = internal::WriteRowChanges(change.rows);
  return json.dump();
}

core::Result<Snapshot> ParseSnapshot(std::string_view text) {
  BOOST_LEAF_AUTO(
      json, internal::ParseStrictJson(text, "snapshot", Operation::kReadStore));
  const JsonObjectReader reader(json, "snapshot", Operation::kReadStore);
  BOOST_LEAF_CHECK(reader.CheckFields({"revision", "plans", "allowances"}));
  BOOST_LEAF_AUTO(revision, reader.Number("revision"));
  BOOST_LEAF_AUTO(lists, internal::ReadPlanLists(json, json));
  return Snapshot{core::Revision(revision), std::move(lists)};
}

std::string FormatSnapshot(const Snapshot& snapshot) {
  const Json json{{"revision", snapshot.revision.Count()},
                  {"plans", internal::WriteRows(snapshot.lists, true)},
                  {"allowances", internal::WriteRows(snapshot.lists, false)}};
  return json.dump();
}

}  // namespace crocusmast::adapters
