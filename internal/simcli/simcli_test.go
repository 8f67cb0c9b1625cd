package simcli

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gaugeyard/internal/emulator"
)

// TestEveryScenarioPrintsItsResult checks that each scenario prints one JSON object.
func TestEveryScenarioPrintsItsResult(t *testing.T) {
	var out, errOut bytes.Buffer
	if status := Main([]string{"platform", "--balancers", "1", "--zones", "2"}, &out, &errOut); errOut.Len() > 0 {
		t.Fatalf("status %d: %s", status, errOut.String())
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != len(emulator.Scenarios) {
		t.Fatalf("%d results for %d scenarios", len(lines), len(emulator.Scenarios))
	}
	for _, line := range lines {
		var result emulator.Result
		if err := json.Unmarshal([]byte(line), &result); err != nil {
			t.Errorf("%v: %s", err, line)
		}
	}
}

func TestErrorsNameInvalidInput(t *testing.T) {
	for _, test := range []struct {
		args []string
		want string
	}{
		{[]string{"platform", "--scenario", "nothing"}, `--scenario "nothing"`},
		{[]string{"platform", "--without", "luck"}, `--without "luck"`},
		{[]string{"platform", "--zones", "0"}, "--balancers and --zones"},
		{[]string{"platform", "--trace", "me"}, "--trace"},
	} {
		var out, errOut bytes.Buffer
		if status := Main(test.args, &out, &errOut); status != exitInvalid || !strings.Contains(errOut.String(), test.want) {
			t.Errorf("%v: status %d, %s", test.args, status, errOut.String())
		}
	}
}
