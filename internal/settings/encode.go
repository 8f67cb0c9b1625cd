package settings

import (
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxNodes bounds the nodes of a tree that is decoded, and its changes.
	maxNodes = 1 << 20
	// maxSized bounds what is allocated for as many elements as a message announces.
	maxSized = 1 << 16
	// listParts are the parts of an encoded list: keys, common values and nodes.
	listParts = 3
)

// Changes are differences between two trees as balancers tell each other: by node, without
// what was there before, and values that many nodes have are written once.
type Changes []Change

// setting is one value of a node; an empty one is taken away.
type setting struct {
	key   Key
	value string
}

// nodeSettings are the settings of one node, in one order for equal ones.
type nodeSettings struct {
	path     Path
	settings []setting
}

// EncodeMsgpack implements msgpack.CustomEncoder: paths in order, so that equal trees are
// equal bytes.
func (t Tree) EncodeMsgpack(encoder *msgpack.Encoder) error {
	nodes := make([]nodeSettings, 0, len(t))
	for _, path := range t.Paths() {
		node := nodeSettings{path: path}
		for _, key := range slices.Sorted(maps.Keys(t[path])) {
			node.settings = append(node.settings, setting{key, t[path][key]})
		}
		nodes = append(nodes, node)
	}
	return encodeNodes(encoder, nodes)
}

// DecodeMsgpack implements msgpack.CustomDecoder. The tree is in canonical form; a path,
// key or value that is not allowed is an error. Nodes with the same values share them:
// most services of a large tree have groups that differ by their path alone.
func (t *Tree) DecodeMsgpack(decoder *msgpack.Decoder) error {
	*t = Tree{"": Values{}}
	var shared sharedValues
	return decodeNodes(decoder, func(count int) {
		*t = make(Tree, min(count, maxSized))
		(*t)[""] = Values{}
	}, func(path Path, given []setting) error {
		var err error
		(*t)[path], err = shared.of(path.Level(), given)
		return err
	})
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c Changes) EncodeMsgpack(encoder *msgpack.Encoder) error {
	var nodes []nodeSettings
	for _, change := range c {
		if len(nodes) == 0 || nodes[len(nodes)-1].path != change.Path {
			nodes = append(nodes, nodeSettings{path: change.Path})
		}
		node := &nodes[len(nodes)-1]
		node.settings = append(node.settings, setting{change.Key, change.After})
	}
	return encodeNodes(encoder, nodes)
}

// DecodeMsgpack implements msgpack.CustomDecoder. Whether the changes are allowed shows when
// they are made.
func (c *Changes) DecodeMsgpack(decoder *msgpack.Decoder) error {
	*c = nil
	return decodeNodes(decoder, func(count int) {
		*c = make(Changes, 0, min(count, maxSized))
	}, func(path Path, given []setting) error {
		if len(*c)+len(given) > maxNodes {
			return fmt.Errorf("more than %d changes", maxNodes)
		}
		for _, s := range given {
			*c = append(*c, Change{Path: path, Key: s.key, After: s.value})
		}
		return nil
	})
}

// encodeNodes writes the keys, the lists of settings that several nodes have, and for each
// node: how many bytes its path shares with the one before, the rest of it, the list that it
// has, and the settings that no other node has.
func encodeNodes(encoder *msgpack.Encoder, nodes []nodeSettings) error {
	list := newNodeList(nodes)
	if err := encoder.EncodeArrayLen(listParts); err != nil {
		return err
	}
	if err := list.encodeKeys(encoder); err != nil {
		return err
	}
	if err := list.encodeCommon(encoder); err != nil {
		return err
	}
	if err := encoder.EncodeArrayLen(list.length); err != nil {
		return err
	}
	before := Path("")
	for i := range nodes {
		if err := list.encodeNode(encoder, i, before); err != nil {
			return err
		}
		before = nodes[i].path
	}
	return nil
}

// nodeList is nodes as they are written.
type nodeList struct {
	nodes []nodeSettings
	keys  []Key
	keyAt map[Key]int
	// common are the lists of settings that nodes share; of has a node's, own what is its own.
	common [][]setting
	of     []int
	own    [][]setting
	// length counts the elements of all nodes.
	length int
}

// partsPerNode and partsPerSetting are the elements that a node and a setting of it have.
const (
	partsPerNode    = 4
	partsPerSetting = 2
)

func newNodeList(nodes []nodeSettings) *nodeList {
	list := &nodeList{nodes: nodes, keyAt: map[Key]int{}, of: make([]int, len(nodes)), own: make([][]setting, len(nodes))}
	seen := map[setting]int{}
	for i := range nodes {
		for _, s := range nodes[i].settings {
			seen[s]++
		}
	}
	commonAt := map[string]int{}
	var common, own []setting
	var name []byte
	for i := range nodes {
		common, name = common[:0], name[:0]
		first := len(own)
		for _, s := range nodes[i].settings {
			if _, known := list.keyAt[s.key]; !known {
				list.keyAt[s.key] = len(list.keys)
				list.keys = append(list.keys, s.key)
			}
			if seen[s] == 1 {
				own = append(own, s)
				continue
			}
			common = append(common, s)
			name = append(append(append(append(name, s.key...), 0), s.value...), 0)
		}
		list.own[i] = own[first:]
		at, known := commonAt[string(name)]
		if !known {
			at = len(list.common)
			commonAt[string(name)] = at
			list.common = append(list.common, slices.Clone(common))
		}
		list.of[i] = at
		list.length += partsPerNode + partsPerSetting*len(list.own[i])
	}
	return list
}

func (l *nodeList) encodeKeys(encoder *msgpack.Encoder) error {
	if err := encoder.EncodeArrayLen(len(l.keys)); err != nil {
		return err
	}
	for _, key := range l.keys {
		if err := encoder.EncodeString(string(key)); err != nil {
			return err
		}
	}
	return nil
}

func (l *nodeList) encodeCommon(encoder *msgpack.Encoder) error {
	if err := encoder.EncodeArrayLen(len(l.common)); err != nil {
		return err
	}
	for _, common := range l.common {
		if err := encoder.EncodeArrayLen(partsPerSetting * len(common)); err != nil {
			return err
		}
		if err := l.encodeSettings(encoder, common); err != nil {
			return err
		}
	}
	return nil
}

func (l *nodeList) encodeSettings(encoder *msgpack.Encoder, settings []setting) error {
	for _, s := range settings {
		if err := encoder.EncodeInt(int64(l.keyAt[s.key])); err != nil {
			return err
		}
		if err := encoder.EncodeString(s.value); err != nil {
			return err
		}
	}
	return nil
}

func (l *nodeList) encodeNode(encoder *msgpack.Encoder, i int, before Path) error {
	path, shared := l.nodes[i].path, 0
	for shared < len(path) && shared < len(before) && path[shared] == before[shared] {
		shared++
	}
	if err := encoder.EncodeInt(int64(shared)); err != nil {
		return err
	}
	if err := encoder.EncodeString(string(path[shared:])); err != nil {
		return err
	}
	if err := encoder.EncodeInt(int64(l.of[i])); err != nil {
		return err
	}
	if err := encoder.EncodeInt(int64(len(l.own[i]))); err != nil {
		return err
	}
	return l.encodeSettings(encoder, l.own[i])
}
