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
		{"the reply was lost, the write took effect", []Reply{NoReply, Yes}, Accepted},
		{"the write was lost and is repeated", []Reply{NoReply, No, Yes}, Accepted},
		{"the write took effect after verification", []Reply{NoReply, No, No, Yes}, Accepted},
		{"lost, then another edit came first", []Reply{NoReply, No, No, No}, Conflict},
		{"the reply to verification is lost too", []Reply{NoReply, NoReply, Yes}, Accepted},
	}
	for _, c := range cases {
		m := Machine{}
		call := m.Start()
		for _, reply := range c.replies {
			if call == Commit || call == PauseThenCommit {
				call = m.HandleCommit(reply)
			} else {
				call = m.HandleVerify(reply)
			}
		}
		if call != Done || m.Result != c.result {
			t.Errorf("%s: call %v, result %v", c.name, call, m.Result)
		}
	}
	m := Machine{}
	for call := m.Start(); call != Done; {
		if call == Commit || call == PauseThenCommit {
			call = m.HandleCommit(NoReply)
		} else {
			call = m.HandleVerify(NoReply)
		}
	}
	if m.Result != Unknown {
		t.Errorf("an unreachable store: result %v", m.Result)
	}
}
