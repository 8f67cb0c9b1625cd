// Package operator implements the operators' commands on the settings tree and
// the running balancers.
package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"gaugeyard/internal/datapath"
	"gaugeyard/internal/discovery"
	"gaugeyard/internal/edit"
	"gaugeyard/internal/store"

	"gaugeyard/internal/settings"
)

// Invalid is the class of errors in the operator's input.
var Invalid = errs.Class("invalid")

// ConflictError means that another edit was accepted first.
type ConflictError struct {
	// Base is the revision that the edit was made from, and Current the newest one.
	Base, Current uint64
	// Changes lead from the base to the newest revision.
	Changes []settings.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the edit was made from revision %d, but revision %d is in force", e.Base, e.Current)
}

const (
	// retryDelay is the wait before the next call after a lost reply.
	retryDelay = 300 * time.Millisecond
	// pushTimeout limits the request that pushes an accepted tree to one balancer.
	pushTimeout = time.Second
	// maxSettingsQueries is the number of balancers queried for the settings in force.
	maxSettingsQueries = 3
	// pushTargets is the number of balancers that an accepted tree is pushed to; they send it
	// to the others.
	pushTargets = 2
)

// Session is one operator's access to the platform.
type Session struct {
	Store *store.Client
	// Machines is the URL of the machine list. If it is empty, balancers are neither
	// queried for the settings in force nor sent accepted edits.
	Machines string
	Author   string
}

// Accepted describes an edit that was accepted.
type Accepted struct {
	Revision uint64            `json:"revision"`
	EditID   string            `json:"edit_id"`
	Changes  []settings.Change `json:"changes"`
	// Pushed is the number of balancers that confirmed the pushed revision.
	Pushed int `json:"pushed"`
}

// Edit changes the tree: it applies mutate to a copy and commits the result
// atomically. If base is not 0, it rejects the edit unless base is the newest
// revision. Errors are of class Invalid or store.Unavailable, ErrStoreBehind, or
// a *ConflictError.
func (s *Session) Edit(ctx context.Context, base uint64, mutate func(settings.Tree) error) (Accepted, error) {
	state, err := s.Store.Load(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if _, inForce := s.newestInForce(ctx); inForce > state.Head.Revision {
		return Accepted{}, fmt.Errorf("%w: revision %d, but %d is in force; run 'gaugeyard republish' first", ErrStoreBehind, state.Head.Revision, inForce)
	}
	if base != 0 && base != state.Head.Revision {
		return Accepted{}, s.conflict(ctx, base, state)
	}
	next := state.Tree.Clone()
	if err := mutate(next); err != nil {
		return Accepted{}, Invalid.Wrap(err)
	}
	if validationErrs := next.Validate(); len(validationErrs) > 0 {
		return Accepted{}, Invalid.Wrap(errors.Join(validationErrs...))
	}
	changes := settings.Diff(state.Tree, next)
	if len(changes) == 0 {
		return Accepted{Revision: state.Head.Revision}, nil
	}
	return s.accept(ctx, state, next, state.Head.Revision+1)
}

// ErrStoreBehind means that the store was restored to an older state. Balancers
// have a newer revision in force and would ignore an edit based on the old one.
var ErrStoreBehind = errors.New("the store is behind the balancers")

// Republish writes the newest tree that a queried balancer has in force back to a
// store that was restored to an older state. If the store is not behind, it does nothing.
func (s *Session) Republish(ctx context.Context) (Accepted, error) {
	state, err := s.Store.Load(ctx)
	if err != nil {
		return Accepted{}, err
	}
	tree, inForce := s.newestInForce(ctx)
	if inForce <= state.Head.Revision {
		return Accepted{Revision: state.Head.Revision}, nil
	}
	return s.accept(ctx, state, tree, inForce+1)
}

// newestInForce queries a few balancers and returns the newest tree that one of them
// has in force, and its revision; nil and 0 if none replies.
func (s *Session) newestInForce(ctx context.Context) (settings.Tree, uint64) {
	if s.Machines == "" {
		return nil, 0
	}
	machines, err := discovery.Machines(ctx, s.Machines)
	if err != nil {
		return nil, 0
	}
	newest := datapath.Push{}
	for _, machine := range machines[:min(len(machines), maxSettingsQueries)] {
		var reply datapath.Push
		if getJSON(ctx, machine, "/settings", &reply) == nil && reply.Head.Revision > newest.Head.Revision {
			newest = reply
		}
	}
	return newest.Tree, newest.Head.Revision
}

// accept commits a tree to the store and pushes it to balancers.
func (s *Session) accept(ctx context.Context, state *store.State, next settings.Tree, revision uint64) (Accepted, error) {
	changes := settings.Diff(state.Tree, next)
	newEdit := store.Edit{
		Revision: revision,
		EditID:   rand.Text(),
		Author:   s.Author,
		Time:     time.Now().UTC(),
		Changes:  changes,
	}
	if err := s.commit(ctx, state, next, newEdit); err != nil {
		return Accepted{}, err
	}
	head := store.Head{Revision: newEdit.Revision, EditID: newEdit.EditID}
	pushed := s.push(ctx, datapath.Push{Head: head, Tree: next})
	return Accepted{Revision: newEdit.Revision, EditID: newEdit.EditID, Changes: changes, Pushed: pushed}, nil
}

// commit runs the edit protocol against the store.
func (s *Session) commit(ctx context.Context, state *store.State, next settings.Tree, newEdit store.Edit) error {
	protocol := &edit.Machine{}
	var lastErr error
	call := protocol.Start()
	for call != edit.Done {
		if call == edit.PauseThenVerify || call == edit.PauseThenCommit {
			time.Sleep(retryDelay)
		}
		var reply edit.Reply
		var err error
		switch call {
		case edit.Commit, edit.PauseThenCommit:
			reply, err = commitReply(s.Store.Commit(ctx, state, next, newEdit))
			call = protocol.HandleCommit(reply)
		default:
			reply, err = verifyReply(s.Store.WasAccepted(ctx, newEdit))
			call = protocol.HandleVerify(reply)
		}
		if err != nil && reply != edit.NoReply {
			return err
		}
		if err != nil {
			lastErr = err
		}
	}
	switch protocol.Result {
	case edit.Conflict:
		return s.conflict(ctx, state.Head.Revision, nil)
	case edit.Unknown:
		return fmt.Errorf("edit %s may or may not have been accepted; check the history: %w", newEdit.EditID, lastErr)
	}
	return nil
}

func commitReply(err error) (edit.Reply, error) {
	switch {
	case err == nil:
		return edit.Yes, nil
	case errors.Is(err, store.ErrConflict):
		return edit.No, nil
	case store.Unavailable.Has(err):
		return edit.NoReply, err
	}
	return edit.No, err
}

func verifyReply(accepted bool, err error) (edit.Reply, error) {
	switch {
	case err != nil:
		return edit.NoReply, err
	case accepted:
		return edit.Yes, nil
	}
	return edit.No, nil
}

// conflict returns a *ConflictError with the changes since base. A nil state is loaded
// from the store.
func (s *Session) conflict(ctx context.Context, base uint64, state *store.State) error {
	if state == nil {
		var err error
		if state, err = s.Store.Load(ctx); err != nil {
			return err
		}
	}
	conflict := &ConflictError{Base: base, Current: state.Head.Revision}
	edits, err := s.Store.History(ctx, historyLimit)
	if err != nil {
		return err
	}
	for i := len(edits) - 1; i >= 0; i-- {
		if edits[i].Revision > base {
			conflict.Changes = append(conflict.Changes, edits[i].Changes...)
		}
	}
	return conflict
}

// push sends an accepted tree to balancers, so that it takes effect even if the
// store fails before they read it. It returns the number that confirmed.
func (s *Session) push(ctx context.Context, push datapath.Push) int {
	if s.Machines == "" {
		return 0
	}
	machines, err := discovery.Machines(ctx, s.Machines)
	if err != nil {
		return 0
	}
	body, err := json.Marshal(push)
	if err != nil {
		return 0
	}
	confirmed := 0
	for _, machine := range machines {
		if confirmed < pushTargets && pushTo(ctx, machine, body) {
			confirmed++
		}
	}
	return confirmed
}

func pushTo(ctx context.Context, machine discovery.Machine, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+machine.Admin.String()+"/settings", bytes.NewReader(body))
	if err != nil {
		return false
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}
