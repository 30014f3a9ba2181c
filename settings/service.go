package settings

import "github.com/knapweedgw/knapweedgw/kernel"

// ServiceID is the kernel ID of the service that serves the settings in force.
const ServiceID kernel.ID = "settings.watcher"
