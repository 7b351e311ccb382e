#include "turmericspar/base/http_call.h"

#include "turmericspar/base/http_client.h"

namespace turmericspar {

result<http_response> callAndWait(const endpoint &peer, const http_request &request, millis timeout)
{
    event_loop loop;
    http_client client(loop, peer, {});
    http_outcome outcome;
    client.connect(timeout, {});
    client.send(request, timeout, [&](http_outcome received) {
        outcome = std::move(received);
        loop.quit();
    });
    loop.run();
    if (outcome.error) {
        return failure{outcome.error, request.method + " " + request.target, peer.text(), {}};
    }
    return std::move(outcome.response);
}

} // namespace turmericspar
