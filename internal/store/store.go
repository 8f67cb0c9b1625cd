// Package store is a client of the key-value service that stores the settings
// tree. It reads and watches the tree, commits edits by compare-and-swap and reads
// their history.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"gaugeyard/internal/settings"
)

// Keys in the store. The tree has one key for each node, so that an edit writes
// only changed nodes, and a head key that each edit compares and swaps.
const (
	keyPrefix     = "gaugeyard/"
	headKey       = keyPrefix + "tree/head"
	nodePrefix    = keyPrefix + "tree/node/"
	treePrefix    = keyPrefix + "tree/"
	historyPrefix = keyPrefix + "history/"
)

// callTimeout is the timeout of a call to the store. Watches have none.
const callTimeout = 3 * time.Second

// Errors of the store.
var (
	// Unavailable wraps every failure to send a request or receive its response.
	// A write that fails with it may have taken effect.
	Unavailable = errs.Class("store unavailable")
	// ErrConflict means that another edit was accepted first.
	ErrConflict = errors.New("the settings were changed by another edit")
)

// Head identifies the newest accepted edit.
type Head struct {
	Revision uint64 `json:"revision"`
	EditID   string `json:"edit_id"`
}

// Edit is an edit of the tree as stored in the history.
type Edit struct {
	Revision uint64            `json:"revision"`
	EditID   string            `json:"edit_id"`
	Author   string            `json:"author"`
	Time     time.Time         `json:"time"`
	Changes  []settings.Change `json:"changes"`
}

// State is the content of the store.
type State struct {
	Head Head
	Tree settings.Tree
	// headModRevision is the store's modification revision of the head key, 0 if the
	// key does not exist.
	headModRevision int64
	// storeRevision is the store's revision of this state, from which Watch continues.
	storeRevision int64
}

// Client is a client of the key-value service. It uses the JSON gateway of the etcd
// v3 API and is safe for concurrent use.
type Client struct {
	endpoint string
	client   *http.Client
}

// New returns a client of the service at endpoint, such as http://127.0.0.1:2379.
func New(endpoint string) *Client {
	return &Client{endpoint: strings.TrimSuffix(endpoint, "/"), client: &http.Client{}}
}

// post calls a method of the API and decodes its response.
func (s *Client) post(ctx context.Context, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := s.send(ctx, method, request)
	if err != nil {
		return err
	}
	defer body.Close()
	return Unavailable.Wrap(json.NewDecoder(body).Decode(response))
}

// send sends a request and returns the body of the response, which the caller closes.
func (s *Client) send(ctx context.Context, method string, request any) (io.ReadCloser, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, s.endpoint+method, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpResponse, err := s.client.Do(httpRequest)
	if err != nil {
		return nil, Unavailable.Wrap(err)
	}
	if httpResponse.StatusCode != http.StatusOK {
		httpResponse.Body.Close()
		return nil, Unavailable.New("%s answered %s", method, httpResponse.Status)
	}
	return httpResponse.Body, nil
}

// prefixEnd returns the first key after all keys with the prefix. The last byte of
// prefix must not be 0xff.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}

// Load reads the tree. The tree of an empty store has an empty root.
func (s *Client) Load(ctx context.Context) (*State, error) {
	var response rangeResponse
	request := rangeRequest{Key: []byte(treePrefix), RangeEnd: prefixEnd(treePrefix)}
	if err := s.post(ctx, "/v3/kv/range", request, &response); err != nil {
		return nil, err
	}
	state := &State{Tree: settings.Tree{"": settings.Values{}}, storeRevision: int64(response.Header.Revision)}
	for _, pair := range response.KVs {
		if err := state.applyKey(pair); err != nil {
			return nil, err
		}
	}
	return state, nil
}

// applyKey sets the head or a node from a key of the store and ignores other keys.
func (state *State) applyKey(pair keyValue) error {
	key := string(pair.Key)
	if key == headKey {
		state.headModRevision = int64(pair.ModRevision)
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

// Watch calls onChange with the state after every accepted edit, until ctx ends or
// the store fails; it always returns an error. state is one that Load returned.
func (s *Client) Watch(ctx context.Context, state *State, onChange func(*State)) error {
	request := watchRequest{Create: watchCreate{
		Key:           []byte(treePrefix),
		RangeEnd:      prefixEnd(treePrefix),
		StartRevision: int64String(state.storeRevision + 1),
	}}
	body, err := s.send(ctx, "/v3/watch", request)
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
		next, err := state.applyEvents(response.Result.Events)
		if err != nil {
			return err
		}
		next.storeRevision = int64(response.Result.Header.Revision)
		state = next
		onChange(next)
	}
}

// applyEvents returns the state after the events of a transaction, without its
// storeRevision. The receiver is not changed.
func (state *State) applyEvents(events []watchEvent) (*State, error) {
	next := &State{Head: state.Head, Tree: state.Tree.Clone(), headModRevision: state.headModRevision}
	for _, event := range events {
		if event.Type == "DELETE" {
			delete(next.Tree, settings.Path(strings.TrimPrefix(string(event.KV.Key), nodePrefix)))
			continue
		}
		if err := next.applyKey(event.KV); err != nil {
			return nil, err
		}
	}
	return next, nil
}
