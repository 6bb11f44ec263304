#include "apricotarch/protocol/problem.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace apricotarch
{

std::string encodeProblem(const Problem &problem)
{
    boost::json::object object;
    object["type"] = "urn:apricotarch:problem:" + problem.reason;
    object["title"] = problem.reason;
    object["status"] = problem.status;
    object["detail"] = problem.detail;
    object["reason"] = problem.reason;
    object["not_run"] = problem.notRun;
    object["step"] = problem.step;
    object["peer"] = problem.peer;
    object["request"] = problem.request;
    if (problem.retryAfter) {
        object["retry_after_s"] = problem.retryAfter->count();
    }
    return boost::json::serialize(object);
}

Problem toProblem(int status, const Error &error, bool notRun)
{
    return {.status = status,
        .reason = errorName(error.id),
        .detail = error.detail,
        .notRun = notRun,
        .step = error.step,
        .peer = error.peer,
        .retryAfter = std::nullopt};
}

} // namespace apricotarch
