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

// childEnv is the environment variable that makes the test binary run as the child process of the test.
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

// TestAProcessThatStartsSurvivesAHangup guards against a SIGHUP before the settings are read and the sockets are
// open, which terminated the process.
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
