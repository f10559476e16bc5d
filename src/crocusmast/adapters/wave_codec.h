#ifndef CROCUSMAST_ADAPTERS_WAVE_CODEC_H_
#define CROCUSMAST_ADAPTERS_WAVE_CODEC_H_

#include <string>
#include <string_view>

#include "crocusmast/maintenance/wave.h"

namespace crocusmast::adapters {

/**
 * @brief Formats a wave for the store and the command-line tool.
 * @param wave The wave.
 * @return JSON text.
 */
std::string FormatWave(const maintenance::Wave& wave);

/**
 * @brief Parses a wave.
 * @param text JSON text.
 * @return The wave, or an error that names the invalid field.
 */
core::Result<maintenance::Wave> ParseWave(std::string_view text);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_WAVE_CODEC_H_
