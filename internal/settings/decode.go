package settings

import (
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

var errMalformed = errors.New("malformed settings")

// nodeReader decodes the format that encodeNodes writes.
type nodeReader struct {
	decoder *msgpack.Decoder
	keys    []Key
	common  [][]setting
	// remaining is the number of elements still to be read.
	remaining int
	// settings and path are buffers for the current node, reused between nodes.
	settings []setting
	path     []byte
}

// decodeNodes decodes a list of nodes. It calls begin with an upper bound of their number, then
// add for each node; add must not retain its list. A path that is not canonical is an error.
func decodeNodes(decoder *msgpack.Decoder, begin func(count int), add func(path Path, list []setting) error) error {
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
	if r.remaining, err = decoder.DecodeArrayLen(); err != nil {
		return err
	}
	if r.remaining > partsPerNode*maxNodes {
		return fmt.Errorf("%w: too many elements: %d", errMalformed, r.remaining)
	}
	begin(r.remaining / partsPerNode)
	path := Path("")
	for r.remaining > 0 {
		if path, err = r.readNode(path); err != nil {
			return err
		}
		if err := add(path, r.settings); err != nil {
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
		return fmt.Errorf("%w: too many keys: %d", errMalformed, count)
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
		return fmt.Errorf("%w: too many settings lists: %d", errMalformed, count)
	}
	for range max(count, 0) {
		length, err := r.decoder.DecodeArrayLen()
		if err != nil {
			return err
		}
		if length > partsPerSetting*len(Fields) || length > 0 && length%partsPerSetting != 0 {
			return fmt.Errorf("%w: invalid settings list length %d", errMalformed, length)
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
	index, err := r.readIndex(len(r.keys))
	if err != nil {
		return setting{}, err
	}
	value, err := r.decoder.DecodeString()
	return setting{r.keys[index], value}, err
}

// readIndex reads an integer in [0, limit).
func (r *nodeReader) readIndex(limit int) (int, error) {
	index, err := r.decoder.DecodeInt()
	if err == nil && (index < 0 || index >= limit) {
		err = fmt.Errorf("%w: index %d is out of range, limit %d", errMalformed, index, limit)
	}
	return index, err
}

// readNode reads a node whose path is encoded relative to previous. It returns the node's path
// and leaves its settings in r.settings.
func (r *nodeReader) readNode(previous Path) (Path, error) {
	if r.remaining -= partsPerNode; r.remaining < 0 {
		return "", errMalformed
	}
	prefixLength, err := r.readIndex(len(previous) + 1)
	if err != nil {
		return "", err
	}
	path, err := r.readSuffix(previous[:prefixLength])
	if err != nil {
		return "", err
	}
	if parsed, err := ParsePath(string(path)); err != nil || parsed != path {
		return "", fmt.Errorf("invalid path %q", path)
	}
	common, err := r.readIndex(len(r.common))
	if err != nil {
		return "", err
	}
	unique, err := r.readIndex(len(Fields) + 1)
	if err != nil {
		return "", err
	}
	if r.remaining -= partsPerSetting * unique; r.remaining < 0 {
		return "", errMalformed
	}
	r.settings = append(r.settings[:0], r.common[common]...)
	for range unique {
		s, err := r.readSetting()
		if err != nil {
			return "", err
		}
		r.settings = append(r.settings, s)
	}
	return path, nil
}

// readSuffix reads the rest of a path that starts with prefix.
func (r *nodeReader) readSuffix(prefix Path) (Path, error) {
	length, err := r.decoder.DecodeBytesLen()
	if err != nil {
		return "", err
	}
	if length = max(length, 0); length > maxPathLength {
		return "", fmt.Errorf("%w: path suffix of %d bytes is too long", errMalformed, length)
	}
	r.path = append(r.path[:0], prefix...)
	r.path = slices.Grow(r.path, length)[:len(prefix)+length]
	err = r.decoder.ReadFull(r.path[len(prefix):])
	return Path(r.path), err
}

// maxPathLength is an upper bound for the length of a valid path, in bytes.
const maxPathLength = (maxNameLength + 1) * int(levelCount)

// maxCachedLists is the number of lists that valuesCache holds.
const maxCachedLists = 8

// valuesCache builds the values of nodes from lists of settings. Nodes whose list equals one of
// the last few share their values.
type valuesCache struct {
	entries []cachedValues
	next    int
	// buffer is scratch space for callers.
	buffer []setting
}

type cachedValues struct {
	level    Level
	settings []setting
	values   Values
}

// get returns the values of a node of the level. A setting that is not allowed there is an error.
// The values are shared and must not be modified.
func (s *valuesCache) get(level Level, list []setting) (Values, error) {
	for i := range s.entries {
		if entry := &s.entries[i]; entry.level == level && slices.Equal(entry.settings, list) {
			return entry.values, nil
		}
	}
	values := make(Values, len(list))
	unique := false
	for _, g := range list {
		canonical, err := canonicalAt(level, g.key, g.value)
		if err != nil {
			return nil, err
		}
		values[g.key] = canonical
		unique = unique || g.key == KeyAddress
	}
	if unique {
		// Addresses are unique, so this list will not occur again.
		return values, nil
	}
	entry := cachedValues{level, slices.Clone(list), values}
	if len(s.entries) < maxCachedLists {
		s.entries = append(s.entries, entry)
	} else {
		s.entries[s.next] = entry
		s.next = (s.next + 1) % maxCachedLists
	}
	return values, nil
}
