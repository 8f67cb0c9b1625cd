package store

import (
	"strconv"
	"strings"
)

// int64String is a 64-bit integer, which the API encodes as a JSON string.
type int64String int64

// UnmarshalJSON implements json.Unmarshaler.
func (n *int64String) UnmarshalJSON(data []byte) error {
	value, err := strconv.ParseInt(strings.Trim(string(data), `"`), 10, 64)
	*n = int64String(value)
	return err
}

// MarshalJSON implements json.Marshaler.
func (n int64String) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(n), 10))), nil
}

type keyValue struct {
	Key         []byte      `json:"key"`
	Value       []byte      `json:"value,omitempty"`
	ModRevision int64String `json:"mod_revision,omitempty"`
}

type responseHeader struct {
	Revision int64String `json:"revision"`
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
	Key         []byte      `json:"key"`
	Target      string      `json:"target"`
	Result      string      `json:"result"`
	ModRevision int64String `json:"mod_revision"`
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
	Key           []byte      `json:"key"`
	RangeEnd      []byte      `json:"range_end"`
	StartRevision int64String `json:"start_revision"`
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
