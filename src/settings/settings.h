#pragma once

#include "settings/batchsettings.h"
#include "settings/datasettings.h"
#include "settings/deadlinesettings.h"
#include "settings/instancesettings.h"
#include "settings/limitsettings.h"
#include "settings/listensettings.h"
#include "settings/objectivesettings.h"
#include "settings/policysettings.h"
#include "settings/rolloutsettings.h"
#include "settings/shardingsettings.h"
#include "settings/threadsettings.h"
#include "store/storesettings.h"

namespace pistachiofall {

/// The settings of one instance, with one member per section of the file.
struct Settings
{
    InstanceSettings instance;
    ListenSettings listen;
    StoreSettings store;
    DataSettings data;
    DeadlineSettings deadlines;
    LimitSettings limits;
    ObjectiveSettings objectives;
    ThreadSettings threads;
    ShardingSettings sharding;
    PolicySettings policy;
    BatchSettings batch;
    RolloutSettings rollout;
};

} // namespace pistachiofall
