// Package edit is the protocol by which an operator's edit is accepted once or
// not at all, also when replies of the store are lost. It is pure: a driver
// makes the calls that it asks for and tells it the replies.
package edit

// Call is what a driver must do next.
type Call int

// The calls.
const (
	// Commit writes the edit if the tree is still the one it was made from.
	Commit Call = iota
	// Settle reads back whether the edit is in the history.
	Settle
	// PauseThenSettle waits a moment before Settle.
	PauseThenSettle
	// PauseThenCommit waits a moment before Commit.
	PauseThenCommit
	// Done ends the protocol; Result tells how.
	Done
)

// Result is how an edit ended.
type Result int

// The results.
const (
	// Pending means that the protocol goes on.
	Pending Result = iota
	// Accepted means that the edit is in the history, once.
	Accepted
	// Conflict means that another edit was accepted first; this one never will be.
	Conflict
	// Unknown means that the store could not be asked often enough.
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
	// Lost: there was no reply; a commit may have taken effect.
	Lost
)

// maxAttempts bounds the calls of one edit.
const maxAttempts = 20

// Machine is one edit on its way.
type Machine struct {
	// Result is Pending until the protocol is Done.
	Result   Result
	attempts int
	// refused is set once the store has said that the comparison failed.
	refused bool
}

// Start returns the first call.
func (m *Machine) Start() Call {
	return Commit
}

// Committed takes the reply to Commit.
func (m *Machine) Committed(reply Reply) Call {
	switch reply {
	case Yes:
		return m.end(Accepted)
	case No:
		// The comparison also fails when an earlier try of this edit took effect.
		m.refused = true
		return m.again(Settle)
	}
	return m.again(PauseThenSettle)
}

// Settled takes the reply to Settle.
func (m *Machine) Settled(reply Reply) Call {
	switch {
	case reply == Yes:
		return m.end(Accepted)
	case reply == No && m.refused:
		return m.end(Conflict)
	case reply == No:
		return m.again(PauseThenCommit)
	}
	return m.again(PauseThenSettle)
}

func (m *Machine) end(result Result) Call {
	m.Result = result
	return Done
}

func (m *Machine) again(call Call) Call {
	m.attempts++
	if m.attempts > maxAttempts {
		return m.end(Unknown)
	}
	return call
}
