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
	"gaugeyard/internal/follow"
)

const (
	// headerAge is the header with the staleness of an answer in nanoseconds: the time since the store
	// last confirmed it.
	headerAge = "Gaugeyard-Age"
	// headerHeld is the header with the time in nanoseconds for which the request had been held when the
	// staleness was headerAge. Balancers of earlier versions do not send it.
	headerHeld   = "Gaugeyard-Held"
	encodingGzip = "gzip"
	// minCompressBytes is the length in bytes from which answers are compressed. Links between
	// balancers may be narrow, and many followers request the same answer at once.
	minCompressBytes = 2048
	// compressionRatio is the typical ratio of an answer's length to its compressed length. It sizes buffers.
	compressionRatio = 12
	// maxCachedAnswers bounds the encoded answers that are cached for one generation.
	maxCachedAnswers = 8
)

type encodedAnswer struct {
	bytes      []byte
	compressed bool
}

// answerCache holds encoded answers of one generation of the known state. After a change all followers
// send the same request. The zero value is ready to use.
type answerCache struct {
	// mutex is acquired before Node.stateMutex and never while that is held: answers are built under it.
	mutex      sync.Mutex
	generation uint64
	entries    map[peerRequest]encodedAnswer
}

// put caches an answer that was received from another balancer, to forward it to followers that send the
// same request.
func (a *answerCache) put(generation uint64, request peerRequest, encoded encodedAnswer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.entriesFor(generation)[request] = encoded
}

// entriesFor returns the entries of a generation, with room for one more. The mutex must be held.
func (a *answerCache) entriesFor(generation uint64) map[peerRequest]encodedAnswer {
	if a.entries == nil || a.generation != generation || len(a.entries) >= maxCachedAnswers {
		a.generation, a.entries = generation, map[peerRequest]encodedAnswer{}
	}
	return a.entries
}

// get returns the encoded answer to a request. It calls build unless an answer of the same generation
// is cached.
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

// encodeAnswer encodes an answer as msgpack and compresses it if it is long.
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

// readAnswer decodes another balancer's reply, read at readAt, to a request that was sent at requestedAt. The
// settings in it are validated when they are applied.
func readAnswer(reply *http.Response, requestedAt, readAt time.Duration) (*peerAnswer, error) {
	answer := &peerAnswer{}
	if err := answer.readTimes(reply.Header, requestedAt, readAt); err != nil {
		return nil, err
	}
	var err error
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

// readTimes sets the times of an answer from its headers.
func (a *peerAnswer) readTimes(header http.Header, requestedAt, readAt time.Duration) error {
	if header.Get(headerAge) == "" {
		return fmt.Errorf("%s is missing", headerAge)
	}
	staleness, err := readDuration(header, headerAge)
	if err != nil {
		return err
	}
	held, err := readDuration(header, headerHeld)
	if err != nil {
		return err
	}
	returnAge, err := readDuration(header, headerReturnAge)
	if err != nil {
		return err
	}
	held = min(held, readAt-requestedAt)
	a.ConfirmedAt = follow.FromPeer(requestedAt, held, staleness)
	if returnAge > 0 {
		a.StoreReturned, a.StoreReturnedAt = true, requestedAt+held-returnAge
	}
	return nil
}

// readDuration returns a header's value in nanoseconds, 0 if it is missing or negative.
func readDuration(header http.Header, name string) (time.Duration, error) {
	text := header.Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return time.Duration(max(value, 0)), nil
}

// unpack decompresses at most maxPeerAnswer bytes and drops the rest.
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
