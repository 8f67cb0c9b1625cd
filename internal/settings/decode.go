package settings

import (
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

var errMalformed = errors.New("the settings are not well formed")

// nodeReader reads what encodeNodes wrote.
type nodeReader struct {
	decoder *msgpack.Decoder
	keys    []Key
	common  [][]setting
	// left counts the elements that are still to be read.
	left int
	// given is the memory of a node's settings, and text that of its path, reused.
	given []setting
	text  []byte
}

// decodeNodes reads nodes: begin is told how many elements there are, add each node with
// settings that it may not keep. A path that is not in canonical form is an error.
func decodeNodes(decoder *msgpack.Decoder, begin func(count int), add func(path Path, given []setting) error) error {
	parts, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if parts <= 0 {
		return nil
	}
	if parts != listParts {
		return errMalformed
	}
	r := &nodeReader{decoder: decoder}
	if err := r.readKeys(); err != nil {
		return err
	}
	if err := r.readCommon(); err != nil {
		return err
	}
	if r.left, err = decoder.DecodeArrayLen(); err != nil {
		return err
	}
	if r.left > partsPerNode*maxNodes {
		return fmt.Errorf("%w: %d elements", errMalformed, r.left)
	}
	begin(r.left / partsPerNode)
	path := Path("")
	for r.left > 0 {
		if path, err = r.readNode(path); err != nil {
			return err
		}
		if err := add(path, r.given); err != nil {
			return err
		}
	}
	return nil
}

func (r *nodeReader) readKeys() error {
	count, err := r.decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count > len(Fields) {
		return fmt.Errorf("%w: %d keys", errMalformed, count)
	}
	for range max(count, 0) {
		text, err := r.decoder.DecodeString()
		if err != nil {
			return err
		}
		field := fieldsByKey[Key(text)]
		if field == nil {
			return fmt.Errorf("unknown setting %q", text)
		}
		r.keys = append(r.keys, field.Key)
	}
	return nil
}

func (r *nodeReader) readCommon() error {
	count, err := r.decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count > maxNodes {
		return fmt.Errorf("%w: %d lists of settings", errMalformed, count)
	}
	for range max(count, 0) {
		length, err := r.decoder.DecodeArrayLen()
		if err != nil {
			return err
		}
		if length > partsPerSetting*len(Fields) || length > 0 && length%partsPerSetting != 0 {
			return fmt.Errorf("%w: %d parts of settings", errMalformed, length)
		}
		var common []setting
		for range max(length, 0) / partsPerSetting {
			s, err := r.readSetting()
			if err != nil {
				return err
			}
			common = append(common, s)
		}
		r.common = append(r.common, common)
	}
	return nil
}

func (r *nodeReader) readSetting() (setting, error) {
	at, err := r.readIndex(len(r.keys))
	if err != nil {
		return setting{}, err
	}
	value, err := r.decoder.DecodeString()
	return setting{r.keys[at], value}, err
}

// readIndex reads a whole number below limit.
func (r *nodeReader) readIndex(limit int) (int, error) {
	at, err := r.decoder.DecodeInt()
	if err == nil && (at < 0 || at >= limit) {
		err = fmt.Errorf("%w: %d is not below %d", errMalformed, at, limit)
	}
	return at, err
}

// readNode reads the node that comes after the one at before; its settings are in given.
func (r *nodeReader) readNode(before Path) (Path, error) {
	if r.left -= partsPerNode; r.left < 0 {
		return "", errMalformed
	}
	shared, err := r.readIndex(len(before) + 1)
	if err != nil {
		return "", err
	}
	path, err := r.readRest(before[:shared])
	if err != nil {
		return "", err
	}
	if parsed, err := ParsePath(string(path)); err != nil || parsed != path {
		return "", fmt.Errorf("%q is not a path", path)
	}
	common, err := r.readIndex(len(r.common))
	if err != nil {
		return "", err
	}
	own, err := r.readIndex(len(Fields) + 1)
	if err != nil {
		return "", err
	}
	if r.left -= partsPerSetting * own; r.left < 0 {
		return "", errMalformed
	}
	r.given = append(r.given[:0], r.common[common]...)
	for range own {
		s, err := r.readSetting()
		if err != nil {
			return "", err
		}
		r.given = append(r.given, s)
	}
	return path, nil
}

// readRest reads the part of a path that comes after what it shares with the one before.
func (r *nodeReader) readRest(shared Path) (Path, error) {
	length, err := r.decoder.DecodeBytesLen()
	if err != nil {
		return "", err
	}
	if length = max(length, 0); length > maxPath {
		return "", fmt.Errorf("%w: a path of %d bytes", errMalformed, length)
	}
	r.text = append(r.text[:0], shared...)
	r.text = slices.Grow(r.text, length)[:len(shared)+length]
	err = r.decoder.ReadFull(r.text[len(shared):])
	return Path(r.text), err
}

// maxPath is more than a path may have, in bytes.
const maxPath = (maxNameLength + 1) * int(levelCount)

// maxShared is how many lists of settings sharedValues looks through.
const maxShared = 8

// sharedValues makes the values of nodes from settings; nodes with the same ones as one of the
// last few lists share them.
type sharedValues struct {
	known []knownValues
	next  int
	// buffer is the memory of those who ask.
	buffer []setting
}

type knownValues struct {
	level    Level
	settings []setting
	values   Values
}

// of returns the values of a node; settings that are not allowed at the level are an error.
func (s *sharedValues) of(level Level, given []setting) (Values, error) {
	for i := range s.known {
		if known := &s.known[i]; known.level == level && slices.Equal(known.settings, given) {
			return known.values, nil
		}
	}
	values := make(Values, len(given))
	own := false
	for _, g := range given {
		canonical, err := canonicalAt(level, g.key, g.value)
		if err != nil {
			return nil, err
		}
		values[g.key] = canonical
		own = own || g.key == KeyAddress
	}
	if own {
		// No two services or back ends have the same address.
		return values, nil
	}
	known := knownValues{level, slices.Clone(given), values}
	if len(s.known) < maxShared {
		s.known = append(s.known, known)
	} else {
		s.known[s.next] = known
		s.next = (s.next + 1) % maxShared
	}
	return values, nil
}
