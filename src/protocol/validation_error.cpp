#include "apricotarch/protocol/validation_error.h"

namespace apricotarch
{

std::string formatErrors(const std::string &file, const ValidationErrors &errors)
{
    std::string lines;
    for (const ValidationError &error : errors) {
        lines += file + ':' + std::to_string(error.line) + ": ";
        lines += error.key.empty() ? error.message : error.key + ": " + error.message;
        lines += '\n';
    }
    return lines;
}

} // namespace apricotarch
