#include "turmericspar/policy/startup_check.h"

namespace turmericspar {

startup_state checkStartup(const startup_view &view, const startup_tunables &tuning)
{
    const bool peersSilent = view.seedsNamed && view.age >= *view.seedsNamed + tuning.peerWait;
    if (view.configurationKnown && !view.behind && (view.peerHeard || view.storeWhole || peersSilent)) {
        return startup_state::confirmed;
    }
    return view.age >= tuning.maxWait ? startup_state::unconfirmed : startup_state::waiting;
}

std::uint64_t announcedVersion(startup_state state, std::uint64_t version)
{
    return state == startup_state::waiting ? 0 : version;
}

void recordAnnouncement(startup_view &view, std::uint64_t version)
{
    view.peerHeard = view.peerHeard || version > 0;
}

} // namespace turmericspar
