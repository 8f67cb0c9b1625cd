package edit

import "testing"

// TestProtocol guards that every way through lost replies ends in the truth.
func TestProtocol(t *testing.T) {
	cases := []struct {
		guards string
		// replies to Commit and Settle in the order of the calls.
		replies []Reply
		result  Result
	}{
		{"a plain edit", []Reply{Yes}, Accepted},
		{"another edit came first", []Reply{No, No}, Conflict},
		{"the reply was lost, the write took effect", []Reply{Lost, Yes}, Accepted},
		{"the write was lost and is made again", []Reply{Lost, No, Yes}, Accepted},
		{"the write took effect after the reading back", []Reply{Lost, No, No, Yes}, Accepted},
		{"lost, then another edit came first", []Reply{Lost, No, No, No}, Conflict},
		{"the reading back is lost too", []Reply{Lost, Lost, Yes}, Accepted},
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
			t.Errorf("%s: call %v, result %v", c.guards, call, m.Result)
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
