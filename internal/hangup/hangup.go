// Package hangup captures SIGHUP from the initialization of the process on. A platform sends the
// signal when settings have changed, even to a process that it has just started, and the signal
// terminates a process that has no handler yet.
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
