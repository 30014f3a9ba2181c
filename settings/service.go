package settings

import "github.com/knapweedgw/knapweedgw/kernel"

// ServiceID is the kernel name of the service that holds the settings in
// force.
const ServiceID kernel.ID = "settings.watcher"
