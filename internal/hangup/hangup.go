// Package hangup captures SIGHUP from the initialization of the process on. Until a handler is
// installed the signal terminates the process, and a platform may signal new settings to a
// process that it has just started.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// pending buffers one signal: one reload serves all signals that are not handled yet.
var pending = make(chan os.Signal, 1)

func init() { signal.Notify(pending, syscall.SIGHUP) }

// Signals returns a channel that receives each SIGHUP since the process started. Signals that
// arrive before the previous one is received are merged.
func Signals() <-chan os.Signal { return pending }
