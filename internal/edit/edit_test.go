package edit

import "testing"

// TestProtocol checks that each sequence of replies, with lost ones among them, ends with the
// correct result.
func TestProtocol(t *testing.T) {
	cases := []struct {
		name string
		// replies to Commit and Verify in the order of the calls.
		replies []Reply
		result  Result
	}{
		{"a plain edit", []Reply{Yes}, Accepted},
		{"another edit came first", []Reply{No, No}, Conflict},
		{"the reply was lost, the write took effect", []Reply{Lost, Yes}, Accepted},
		{"the write was lost and is repeated", []Reply{Lost, No, Yes}, Accepted},
		{"the write took effect after verification", []Reply{Lost, No, No, Yes}, Accepted},
		{"lost, then another edit came first", []Reply{Lost, No, No, No}, Conflict},
		{"the reply to verification is lost too", []Reply{Lost, Lost, Yes}, Accepted},
	}
	for _, c := range cases {
		m := Machine{}
		call := m.Start()
		for _, reply := range c.replies {
			if call == Commit || call == PauseThenCommit {
				call = m.Committed(reply)
			} else {
				call = m.Settled(reply)
			}
		}
		if call != Done || m.Result != c.result {
			t.Errorf("%s: call %v, result %v", c.name, call, m.Result)
		}
	}
	m := Machine{}
	for call := m.Start(); call != Done; {
		if call == Commit || call == PauseThenCommit {
			call = m.Committed(Lost)
		} else {
			call = m.Settled(Lost)
		}
	}
	if m.Result != Unknown {
		t.Errorf("an unreachable store: result %v", m.Result)
	}
}
