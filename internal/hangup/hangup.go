// Package hangup registers a handler for SIGHUP before the main function of a process runs. An operator who changes
// the settings file may send the signal while the process starts; without a handler it terminates the process.
//
// # Usage
//
//	select {
//	case <-hangup.Received():   // read the settings file again
//	}
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received buffers one signal. A pending one covers all that arrive meanwhile.
var received = make(chan os.Signal, 1)

func init() { signal.Notify(received, syscall.SIGHUP) }

// Received returns the channel of the signals since the start of the process. Pending signals are merged into one,
// and all callers share the channel, so that each signal reaches one of them.
func Received() <-chan os.Signal { return received }
