package hangup

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// starting makes the test's program a process that does nothing but start.
const childEnv = "GAUGEYARD_TEST_STARTING"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	fmt.Print("!")
	select {
	case <-Received():
		os.Exit(0)
	case <-time.After(10 * time.Second):
		os.Exit(1)
	}
}

// TestAProcessThatStartsSurvivesAHangup: balancers received SIGHUP only once their settings were read and their sockets
// open; one that came before ended them. The soak showed it (seed 1, "balancer 2 ended by itself: signal: hangup", a
// reload series at a balancer that had just been started).
func TestAProcessThatStartsSurvivesAHangup(t *testing.T) {
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), childEnv+"=1")
	out, err := program.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(out, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := program.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if err := program.Wait(); err != nil {
		t.Errorf("the process ends: %v", err)
	}
}
