// Package edit implements the protocol by which an operator's edit is accepted at
// most once, even if replies of the store are lost. It does no input or output: a
// driver makes the calls that it returns and passes it the replies.
package edit

// Call is the next call that the driver must make.
type Call int

// The calls.
const (
	// Commit writes the edit if the stored tree is still the one that the edit was made from.
	Commit Call = iota
	// Verify reads back whether the edit is in the history.
	Verify
	// PauseThenVerify is Verify after a short wait.
	PauseThenVerify
	// PauseThenCommit is Commit after a short wait.
	PauseThenCommit
	// Done ends the protocol; Machine.Result has the outcome.
	Done
)

// Result is the outcome of an edit.
type Result int

// The results.
const (
	// Pending means that the protocol has not ended.
	Pending Result = iota
	// Accepted means that the edit is in the history exactly once.
	Accepted
	// Conflict means that another edit was accepted first. This one will never be accepted.
	Conflict
	// Unknown means that the outcome was not determined within the limit of calls.
	Unknown
)

// Reply is the outcome of one call.
type Reply int

// The replies.
const (
	// Yes: the commit was accepted, or the edit is in the history.
	Yes Reply = iota
	// No: the comparison failed, or the edit is not in the history.
	No
	// NoReply: there was no reply; a commit may have taken effect.
	NoReply
)

// maxAttempts limits the repeated calls of one edit.
const maxAttempts = 20

// Machine is the state machine of one edit. Its zero value is ready for Start.
type Machine struct {
	// Result is Pending until the protocol is Done.
	Result   Result
	attempts int
	// rejected is set once the store has replied that the comparison failed.
	rejected bool
}

// Start returns the first call.
func (m *Machine) Start() Call {
	return Commit
}

// HandleCommit processes the reply to Commit and returns the next call.
func (m *Machine) HandleCommit(reply Reply) Call {
	switch reply {
	case Yes:
		return m.finish(Accepted)
	case No:
		// The comparison also fails if an earlier attempt of this edit took effect.
		m.rejected = true
		return m.retry(Verify)
	}
	return m.retry(PauseThenVerify)
}

// HandleVerify processes the reply to Verify and returns the next call.
func (m *Machine) HandleVerify(reply Reply) Call {
	switch {
	case reply == Yes:
		return m.finish(Accepted)
	case reply == No && m.rejected:
		return m.finish(Conflict)
	case reply == No:
		return m.retry(PauseThenCommit)
	}
	return m.retry(PauseThenVerify)
}

func (m *Machine) finish(result Result) Call {
	m.Result = result
	return Done
}

func (m *Machine) retry(call Call) Call {
	m.attempts++
	if m.attempts > maxAttempts {
		return m.finish(Unknown)
	}
	return call
}
