package store

import (
	"context"
	"encoding/json"
	"fmt"

	"gaugeyard/internal/settings"
)

// Commit atomically replaces the state from by the tree next. It returns ErrConflict
// if another edit was accepted since from was read. If the response is lost, the
// error is of class Unavailable, and WasAccepted reports the outcome.
func (s *Client) Commit(ctx context.Context, from *State, next settings.Tree, edit Edit) error {
	head, err := json.Marshal(Head{Revision: edit.Revision, EditID: edit.EditID})
	if err != nil {
		return err
	}
	record, err := json.Marshal(edit)
	if err != nil {
		return err
	}
	request := transaction{
		Compare: []compare{{Key: []byte(headKey), Target: "MOD", Result: "EQUAL", ModRevision: int64String(from.headModRevision)}},
		Success: []operation{
			putOperation(headKey, head),
			putOperation(historyKey(edit.Revision), record),
		},
	}
	nodes, err := nodeOperations(from.Tree, next)
	if err != nil {
		return err
	}
	request.Success = append(request.Success, nodes...)
	var response transactionResponse
	if err := s.post(ctx, "/v3/kv/txn", request, &response); err != nil {
		return err
	}
	if !response.Succeeded {
		return ErrConflict
	}
	return nil
}

func putOperation(key string, value []byte) operation {
	return operation{Put: &putRequest{Key: []byte(key), Value: value}}
}

// nodeOperations returns the writes that change one tree into the other.
func nodeOperations(from, next settings.Tree) ([]operation, error) {
	changed := settings.Tree{}
	for _, change := range settings.Diff(from, next) {
		changed[change.Path] = nil
	}
	for path := range from {
		if next[path] == nil {
			changed[path] = nil
		}
	}
	for path := range next {
		if from[path] == nil {
			changed[path] = nil
		}
	}
	var operations []operation
	for _, path := range changed.Paths() {
		key := nodePrefix + string(path)
		if next[path] == nil {
			operations = append(operations, operation{Delete: &deleteRequest{Key: []byte(key)}})
			continue
		}
		value, err := json.Marshal(next[path])
		if err != nil {
			return nil, err
		}
		operations = append(operations, putOperation(key, value))
	}
	return operations, nil
}

func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, revision)
}

// WasAccepted reports whether the edit is in the history. It resolves a Commit whose
// response was lost.
func (s *Client) WasAccepted(ctx context.Context, edit Edit) (accepted bool, err error) {
	var response rangeResponse
	if err := s.post(ctx, "/v3/kv/range", rangeRequest{Key: []byte(historyKey(edit.Revision))}, &response); err != nil {
		return false, err
	}
	if len(response.KVs) == 0 {
		return false, nil
	}
	var stored Edit
	if err := json.Unmarshal(response.KVs[0].Value, &stored); err != nil {
		return false, err
	}
	return stored.EditID == edit.EditID, nil
}

// History returns the newest edits, at most limit, newest first.
func (s *Client) History(ctx context.Context, limit int) ([]Edit, error) {
	var response rangeResponse
	request := rangeRequest{Key: []byte(historyPrefix), RangeEnd: prefixEnd(historyPrefix), Limit: int64(limit), SortOrder: "DESCEND", SortTarget: "KEY"}
	if err := s.post(ctx, "/v3/kv/range", request, &response); err != nil {
		return nil, err
	}
	edits := make([]Edit, len(response.KVs))
	for i, pair := range response.KVs {
		if err := json.Unmarshal(pair.Value, &edits[i]); err != nil {
			return nil, err
		}
	}
	return edits, nil
}
