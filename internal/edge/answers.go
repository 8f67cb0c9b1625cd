package edge

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gaugeyard/internal/codec"
)

const (
	// headerAge tells in nanoseconds how long ago the store confirmed an answer.
	headerAge    = "Gaugeyard-Age"
	encodingGzip = "gzip"
	// compressFrom is the length from which answers are compressed, in bytes: links of
	// balancers are narrow, and many followers ask for the same at once.
	minCompressBytes = 2048
	// usualRatio is how much longer an answer is than its compressed form, roughly.
	compressionRatio = 12
	// maxAnswers is how many encoded answers are kept for one generation.
	maxCachedAnswers = 8
)

// encodedAnswer is an answer as it is sent.
type encodedAnswer struct {
	bytes      []byte
	compressed bool
}

// answers keeps what was encoded for followers that ask the same, since after a change
// all of them do. The zero value is ready.
type answerCache struct {
	// mutex is taken before that of beliefs, and never while that is held: an answer is built under it.
	mutex      sync.Mutex
	generation uint64
	entries    map[peerRequest]encodedAnswer
}

// put keeps an answer that another balancer gave to a question, for those who ask the same here.
func (a *answerCache) put(generation uint64, request peerRequest, encoded encodedAnswer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.entriesFor(generation)[request] = encoded
}

// encodedAt returns the answers of a generation, of which there is room for one more. The lock
// is held.
func (a *answerCache) entriesFor(generation uint64) map[peerRequest]encodedAnswer {
	if a.entries == nil || a.generation != generation || len(a.entries) >= maxCachedAnswers {
		a.generation, a.entries = generation, map[peerRequest]encodedAnswer{}
	}
	return a.entries
}

// get returns the encoded answer to a question, built anew unless one of the same
// generation of beliefs is kept.
func (a *answerCache) get(generation uint64, request peerRequest, build func() *peerAnswer) (encodedAnswer, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	entries := a.entriesFor(generation)
	if cached, found := entries[request]; found {
		return cached, nil
	}
	encoded, err := encodeAnswer(build())
	if err == nil {
		entries[request] = encoded
	}
	return encoded, err
}

func encodeAnswer(answer *peerAnswer) (encodedAnswer, error) {
	var plain bytes.Buffer
	if err := msgpack.NewEncoder(&plain).Encode(answer); err != nil {
		return encodedAnswer{}, err
	}
	if plain.Len() < minCompressBytes {
		return encodedAnswer{bytes: plain.Bytes()}, nil
	}
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return encodedAnswer{}, err
	}
	if _, err := writer.Write(plain.Bytes()); err != nil {
		return encodedAnswer{}, err
	}
	if err := writer.Close(); err != nil {
		return encodedAnswer{}, err
	}
	return encodedAnswer{bytes: packed.Bytes(), compressed: true}, nil
}

// readAnswer decodes another balancer's reply; the settings in it are checked when they
// are taken over.
func readAnswer(reply *http.Response) (*peerAnswer, error) {
	age, err := strconv.ParseInt(reply.Header.Get(headerAge), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", headerAge, err)
	}
	answer := &peerAnswer{Age: time.Duration(age)}
	if answer.ReturnAge, err = readReturnAge(reply.Header); err != nil {
		return nil, err
	}
	answer.received.compressed = reply.Header.Get("Content-Encoding") == encodingGzip
	if answer.received.bytes, err = io.ReadAll(http.MaxBytesReader(nil, reply.Body, maxPeerAnswer)); err != nil {
		return nil, err
	}
	plain := answer.received.bytes
	if answer.received.compressed {
		if plain, err = unpack(plain); err != nil {
			return nil, err
		}
	}
	return answer, codec.UnmarshalInPieces(plain, answer, pieceBytes, pauseForPackets)
}

// unpack returns what was compressed, at most maxPeerAnswer bytes of it.
func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	var plain bytes.Buffer
	plain.Grow(min(compressionRatio*len(packed), maxPeerAnswer))
	_, err = plain.ReadFrom(io.LimitReader(reader, maxPeerAnswer))
	return plain.Bytes(), err
}
