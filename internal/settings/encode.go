package settings

import (
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxNodes limits the nodes of a decoded tree, and the decoded changes.
	maxNodes = 1 << 20
	// maxPreallocated limits the capacity allocated from an announced length, which is not trusted.
	maxPreallocated = 1 << 16
	// listParts is the number of parts of an encoded list: keys, common settings and nodes.
	listParts = 3
)

// Changes is the form of differences between two trees that balancers send each other. Its
// encoding groups them by node, omits the values before, and writes values common to many nodes
// once.
type Changes []Change

// setting is one value of a node. In changes, an empty value removes the setting.
type setting struct {
	key   Key
	value string
}

// nodeSettings holds the settings of one node. Equal settings must be in the same order.
type nodeSettings struct {
	path     Path
	settings []setting
}

// EncodeMsgpack implements msgpack.CustomEncoder. Paths are in order, so that equal trees have
// equal encodings.
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
// key or value that is not allowed is an error. Nodes with equal values share them: most groups
// of a large tree differ only in their path.
func (t *Tree) DecodeMsgpack(decoder *msgpack.Decoder) error {
	*t = Tree{"": Values{}}
	var cache valuesCache
	return decodeNodes(decoder, func(count int) {
		*t = make(Tree, min(count, maxPreallocated))
		(*t)[""] = Values{}
	}, func(path Path, list []setting) error {
		var err error
		(*t)[path], err = cache.get(path.Level(), list)
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

// DecodeMsgpack implements msgpack.CustomDecoder. It does not check whether the values are
// allowed; applying the changes does.
func (c *Changes) DecodeMsgpack(decoder *msgpack.Decoder) error {
	*c = nil
	return decodeNodes(decoder, func(count int) {
		*c = make(Changes, 0, min(count, maxPreallocated))
	}, func(path Path, list []setting) error {
		if len(*c)+len(list) > maxNodes {
			return fmt.Errorf("more than %d changes", maxNodes)
		}
		for _, s := range list {
			*c = append(*c, Change{Path: path, Key: s.key, After: s.value})
		}
		return nil
	})
}

// encodeNodes writes the keys, the common lists of settings, and for each node: the length of the
// prefix that its path shares with the previous path, the rest of the path, the index of its
// common list, the number of its unique settings, and those settings.
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
	previous := Path("")
	for i := range nodes {
		if err := list.encodeNode(encoder, i, previous); err != nil {
			return err
		}
		previous = nodes[i].path
	}
	return nil
}

// nodeList holds nodes in the form in which they are encoded.
type nodeList struct {
	nodes    []nodeSettings
	keys     []Key
	keyIndex map[Key]int
	// common has the distinct lists of non-unique settings; commonIndex maps a node to its list,
	// and unique has the settings that only that node has.
	common      [][]setting
	commonIndex []int
	unique      [][]setting
	// length is the number of encoded elements of all nodes.
	length int
}

// Numbers of encoded elements of a node without its unique settings, and of one setting.
const (
	partsPerNode    = 4
	partsPerSetting = 2
)

func newNodeList(nodes []nodeSettings) *nodeList {
	list := &nodeList{nodes: nodes, keyIndex: map[Key]int{}, commonIndex: make([]int, len(nodes)), unique: make([][]setting, len(nodes))}
	counts := map[setting]int{}
	for i := range nodes {
		for _, s := range nodes[i].settings {
			counts[s]++
		}
	}
	indexes := map[string]int{}
	var common, unique []setting
	var listKey []byte
	for i := range nodes {
		common, listKey = common[:0], listKey[:0]
		first := len(unique)
		for _, s := range nodes[i].settings {
			if _, known := list.keyIndex[s.key]; !known {
				list.keyIndex[s.key] = len(list.keys)
				list.keys = append(list.keys, s.key)
			}
			if counts[s] == 1 {
				unique = append(unique, s)
				continue
			}
			common = append(common, s)
			listKey = append(append(append(append(listKey, s.key...), 0), s.value...), 0)
		}
		list.unique[i] = unique[first:]
		index, known := indexes[string(listKey)]
		if !known {
			index = len(list.common)
			indexes[string(listKey)] = index
			list.common = append(list.common, slices.Clone(common))
		}
		list.commonIndex[i] = index
		list.length += partsPerNode + partsPerSetting*len(list.unique[i])
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
		if err := encoder.EncodeInt(int64(l.keyIndex[s.key])); err != nil {
			return err
		}
		if err := encoder.EncodeString(s.value); err != nil {
			return err
		}
	}
	return nil
}

func (l *nodeList) encodeNode(encoder *msgpack.Encoder, i int, previous Path) error {
	path, prefixLength := l.nodes[i].path, 0
	for prefixLength < len(path) && prefixLength < len(previous) && path[prefixLength] == previous[prefixLength] {
		prefixLength++
	}
	if err := encoder.EncodeInt(int64(prefixLength)); err != nil {
		return err
	}
	if err := encoder.EncodeString(string(path[prefixLength:])); err != nil {
		return err
	}
	if err := encoder.EncodeInt(int64(l.commonIndex[i])); err != nil {
		return err
	}
	if err := encoder.EncodeInt(int64(len(l.unique[i]))); err != nil {
		return err
	}
	return l.encodeSettings(encoder, l.unique[i])
}
