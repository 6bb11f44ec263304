#pragma once

/**
 * @file
 * HTTP clients of the platform's services: table service, object store and VM list.
 */

#include "apricotarch/coordination/platform_services.h"
#include "apricotarch/transport/http_client.h"

namespace apricotarch
{

/// Address of the platform and timeout of its calls.
struct PlatformAccess
{
    Endpoint endpoint;
    Duration timeout = std::chrono::seconds(1);
};

/// Client of the transactional table service.
class PlatformTable final : public TableStore
{
public:
    PlatformTable(HttpClient &client, PlatformAccess access);

    [[nodiscard]] asio::awaitable<Result<std::optional<Row>>> read(RowKey key) override;
    [[nodiscard]] asio::awaitable<Result<StorePosition>> write(RowWrite write) override;

private:
    HttpClient &m_client;
    PlatformAccess m_access;
};

/// Client of the object store.
class PlatformObjects final : public ObjectStore
{
public:
    PlatformObjects(HttpClient &client, PlatformAccess access);

    [[nodiscard]] asio::awaitable<Result<std::string>> get(Digest digest) override;
    [[nodiscard]] asio::awaitable<Result<void>> put(Digest digest, std::string body) override;

private:
    HttpClient &m_client;
    PlatformAccess m_access;
};

/// Client of the VM list.
class PlatformVmDirectory final : public VmDirectory
{
public:
    PlatformVmDirectory(HttpClient &client, PlatformAccess access);

    [[nodiscard]] asio::awaitable<Result<std::vector<VmEntry>>> list() override;

private:
    HttpClient &m_client;
    PlatformAccess m_access;
};

} // namespace apricotarch
