// Package hangup takes SIGHUP from the moment at which the process is initialised: until a
// handler stands, the signal ends the process, and a platform may change the settings of one
// that it has just started.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// pending holds one signal: several that were not handled yet ask for the same.
var pending = make(chan os.Signal, 1)

func init() { signal.Notify(pending, syscall.SIGHUP) }

// Signals delivers each SIGHUP since the start, or one for several.
func Signals() <-chan os.Signal { return pending }
