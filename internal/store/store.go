// Package store is the client of the key-value service that holds the operators'
// tree: reads, commits by compare-and-swap, history and watches.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"gaugeyard/internal/settings"
)

// Keys in the store. The tree is stored as one key for each node, so that an
// edit writes only what changed, and a head that each edit compares and swaps.
const (
	keyPrefix     = "gaugeyard/"
	headKey       = keyPrefix + "tree/head"
	nodePrefix    = keyPrefix + "tree/node/"
	treePrefix    = keyPrefix + "tree/"
	historyPrefix = keyPrefix + "history/"
)

// callTimeout bounds one call to the store; watches have no bound.
const callTimeout = 3 * time.Second

// Errors of the store.
var (
	// Unavailable wraps every failure to reach the store or to have an answer;
	// a write may have taken effect all the same.
	Unavailable = errs.Class("store unavailable")
	// ErrConflict means that another edit was accepted first.
	ErrConflict = errors.New("the settings were changed by another edit")
)

// Head is the newest accepted edit.
type Head struct {
	Revision uint64 `json:"revision"`
	EditID   string `json:"edit_id"`
}

// Edit is one accepted change of the tree, as history keeps it.
type Edit struct {
	Revision uint64            `json:"revision"`
	EditID   string            `json:"edit_id"`
	Author   string            `json:"author"`
	Time     time.Time         `json:"time"`
	Changes  []settings.Change `json:"changes"`
}

// State is the tree as the store holds it.
type State struct {
	Head Head
	Tree settings.Tree
	// headVersion is the store's own revision of the head key; 0 when there is none.
	headVersion int64
	// storeRevision is the store's revision at which the state was read.
	storeRevision int64
}

// Client is a client of the key-value service: the JSON form of the etcd v3 API.
// Safe for concurrent use.
type Client struct {
	endpoint string
	client   *http.Client
}

// New returns a client of the service at endpoint, such as http://127.0.0.1:2379.
func New(endpoint string) *Client {
	return &Client{endpoint: strings.TrimSuffix(endpoint, "/"), client: &http.Client{}}
}

// int64Text is a 64-bit number, which the API writes as a string.
type int64Text int64

// UnmarshalJSON implements json.Unmarshaler.
func (n *int64Text) UnmarshalJSON(data []byte) error {
	value, err := strconv.ParseInt(strings.Trim(string(data), `"`), 10, 64)
	*n = int64Text(value)
	return err
}

// MarshalJSON implements json.Marshaler.
func (n int64Text) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(n), 10))), nil
}

type keyValue struct {
	Key         []byte    `json:"key"`
	Value       []byte    `json:"value,omitempty"`
	ModRevision int64Text `json:"mod_revision,omitempty"`
}

type responseHeader struct {
	Revision int64Text `json:"revision"`
}

type rangeRequest struct {
	Key        []byte `json:"key"`
	RangeEnd   []byte `json:"range_end,omitempty"`
	Limit      int64  `json:"limit,omitempty"`
	SortOrder  string `json:"sort_order,omitempty"`
	SortTarget string `json:"sort_target,omitempty"`
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	KVs    []keyValue     `json:"kvs"`
}

type compare struct {
	Key         []byte    `json:"key"`
	Target      string    `json:"target"`
	Result      string    `json:"result"`
	ModRevision int64Text `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type operation struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type transaction struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
}

type transactionResponse struct {
	Succeeded bool `json:"succeeded"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte    `json:"key"`
	RangeEnd      []byte    `json:"range_end"`
	StartRevision int64Text `json:"start_revision"`
}

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

type watchResponse struct {
	Result struct {
		Header   responseHeader `json:"header"`
		Events   []watchEvent   `json:"events"`
		Canceled bool           `json:"canceled"`
	} `json:"result"`
}

// post calls one method of the API.
func (s *Client) post(ctx context.Context, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := s.open(ctx, method, request)
	if err != nil {
		return err
	}
	defer body.Close()
	return Unavailable.Wrap(json.NewDecoder(body).Decode(response))
}

func (s *Client) open(ctx context.Context, method string, request any) (io.ReadCloser, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, s.endpoint+method, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	call.Header.Set("Content-Type", "application/json")
	reply, err := s.client.Do(call)
	if err != nil {
		return nil, Unavailable.Wrap(err)
	}
	if reply.StatusCode != http.StatusOK {
		reply.Body.Close()
		return nil, Unavailable.New("%s answered %s", method, reply.Status)
	}
	return reply.Body, nil
}

// prefixEnd returns the first key after all keys that begin with prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}

// Load reads the tree.
func (s *Client) Load(ctx context.Context) (*State, error) {
	var response rangeResponse
	request := rangeRequest{Key: []byte(treePrefix), RangeEnd: prefixEnd(treePrefix)}
	if err := s.post(ctx, "/v3/kv/range", request, &response); err != nil {
		return nil, err
	}
	state := &State{Tree: settings.Tree{"": settings.Values{}}, storeRevision: int64(response.Header.Revision)}
	for _, pair := range response.KVs {
		if err := state.put(pair); err != nil {
			return nil, err
		}
	}
	return state, nil
}

// put takes over one key of the store.
func (state *State) put(pair keyValue) error {
	key := string(pair.Key)
	if key == headKey {
		state.headVersion = int64(pair.ModRevision)
		return json.Unmarshal(pair.Value, &state.Head)
	}
	path, isNode := strings.CutPrefix(key, nodePrefix)
	if !isNode {
		return nil
	}
	values := settings.Values{}
	if err := json.Unmarshal(pair.Value, &values); err != nil {
		return fmt.Errorf("store key %s: %w", key, err)
	}
	state.Tree[settings.Path(path)] = values
	return nil
}

// Commit writes next in place of the state it was made from, whole or not at
// all. It returns ErrConflict when another edit was accepted first. When the
// reply is lost, the error is of class Unavailable, and Settle tells what became
// of the edit.
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
		Compare: []compare{{Key: []byte(headKey), Target: "MOD", Result: "EQUAL", ModRevision: int64Text(from.headVersion)}},
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

// nodeOperations lists the writes that turn one tree into another.
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

// Settle tells whether the edit was accepted, by reading back. It is for a
// write whose reply was lost.
func (s *Client) Settle(ctx context.Context, edit Edit) (accepted bool, err error) {
	var response rangeResponse
	if err := s.post(ctx, "/v3/kv/range", rangeRequest{Key: []byte(historyKey(edit.Revision))}, &response); err != nil {
		return false, err
	}
	if len(response.KVs) == 0 {
		return false, nil
	}
	var found Edit
	if err := json.Unmarshal(response.KVs[0].Value, &found); err != nil {
		return false, err
	}
	return found.EditID == edit.EditID, nil
}

// History returns the newest edits, newest first.
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

// Watch calls changed with the tree after every accepted edit, until ctx ends
// or the store fails. It starts from a state that Load returned.
func (s *Client) Watch(ctx context.Context, state *State, changed func(*State)) error {
	request := watchRequest{Create: watchCreate{
		Key:           []byte(treePrefix),
		RangeEnd:      prefixEnd(treePrefix),
		StartRevision: int64Text(state.storeRevision + 1),
	}}
	body, err := s.open(ctx, "/v3/watch", request)
	if err != nil {
		return err
	}
	defer body.Close()
	decoder := json.NewDecoder(body)
	for {
		var response watchResponse
		if err := decoder.Decode(&response); err != nil {
			return Unavailable.Wrap(err)
		}
		if response.Result.Canceled {
			return Unavailable.New("the watch was cancelled")
		}
		if len(response.Result.Events) == 0 {
			continue
		}
		next, err := state.after(response.Result.Events)
		if err != nil {
			return err
		}
		next.storeRevision = int64(response.Result.Header.Revision)
		state = next
		changed(next)
	}
}

// after returns the state after the events of one transaction.
func (state *State) after(events []watchEvent) (*State, error) {
	next := &State{Head: state.Head, Tree: state.Tree.Clone(), headVersion: state.headVersion}
	for _, event := range events {
		if event.Type == "DELETE" {
			delete(next.Tree, settings.Path(strings.TrimPrefix(string(event.KV.Key), nodePrefix)))
			continue
		}
		if err := next.put(event.KV); err != nil {
			return nil, err
		}
	}
	return next, nil
}
