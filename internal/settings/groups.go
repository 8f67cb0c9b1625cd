package settings

import (
	"strconv"
	"time"
)

// groupReader resolves the groups of one tree.
type groupReader struct {
	tree Tree
	// texts are those of the last group, and read what they say: most groups of a large tree
	// differ by their path alone.
	texts groupTexts
	read  Group
}

// groupTexts are the values in force at a group, as text.
type groupTexts struct {
	discover, share, slowStart, warmUpRate, connections string
}

// of returns those of the groups whose back ends announce themselves, in the order of paths.
func (r *groupReader) of(paths []Path) []Group {
	var groups []Group
	for _, path := range paths {
		texts := r.textsOf(path)
		if texts.discover == "" {
			continue
		}
		if texts != r.texts {
			r.texts, r.read = texts, texts.parse()
		}
		if groups == nil {
			groups = make([]Group, 0, len(paths))
		}
		r.read.Path = path
		groups = append(groups, r.read)
	}
	return groups
}

func (r *groupReader) textsOf(path Path) groupTexts {
	zone := path.Parent()
	levels := [...]Values{r.tree[path], r.tree[zone], r.tree[zone.Parent()], r.tree[""]}
	inForce := func(key Key) string {
		for _, values := range levels {
			if value, given := values[key]; given {
				return value
			}
		}
		return fieldsByKey[key].Default
	}
	texts := groupTexts{discover: levels[0][KeyDiscover], share: levels[0][KeyShare]}
	if texts.share == "" {
		texts.share = fieldsByKey[KeyShare].Default
	}
	texts.slowStart, texts.warmUpRate, texts.connections = inForce(KeySlowStart), inForce(KeyWarmUpRate), inForce(KeyConnections)
	return texts
}

// parse reads the texts. They are of a valid tree, so parse errors cannot occur.
func (t groupTexts) parse() Group {
	group := Group{Discover: t.discover}
	group.Share, _ = strconv.ParseFloat(t.share, 64)
	group.SlowStart, _ = time.ParseDuration(t.slowStart)
	group.WarmUpRate, _ = strconv.ParseFloat(t.warmUpRate, 64)
	group.Connections, _ = strconv.Atoi(t.connections)
	return group
}
