package settings

import (
	"strconv"
	"time"
)

// groupResolver resolves the groups of one tree.
type groupResolver struct {
	tree Tree
	// lastTexts and lastGroup cache the last parsed group: most groups of a large tree differ
	// only in their path.
	lastTexts groupTexts
	lastGroup Group
}

// groupTexts holds the effective values of a group as text.
type groupTexts struct {
	discover, share, slowStart, warmUpRate, connections string
}

// resolve returns the groups whose back ends announce themselves, in the order of paths.
func (r *groupResolver) resolve(paths []Path) []Group {
	var groups []Group
	for _, path := range paths {
		texts := r.effectiveTexts(path)
		if texts.discover == "" {
			continue
		}
		if texts != r.lastTexts {
			r.lastTexts, r.lastGroup = texts, texts.parse()
		}
		if groups == nil {
			groups = make([]Group, 0, len(paths))
		}
		r.lastGroup.Path = path
		groups = append(groups, r.lastGroup)
	}
	return groups
}

func (r *groupResolver) effectiveTexts(path Path) groupTexts {
	zone := path.Parent()
	levels := [...]Values{r.tree[path], r.tree[zone], r.tree[zone.Parent()], r.tree[""]}
	effective := func(key Key) string {
		for _, values := range levels {
			if value, ok := values[key]; ok {
				return value
			}
		}
		return fieldsByKey[key].Default
	}
	texts := groupTexts{discover: levels[0][KeyDiscover], share: levels[0][KeyShare]}
	if texts.share == "" {
		texts.share = fieldsByKey[KeyShare].Default
	}
	texts.slowStart, texts.warmUpRate, texts.connections = effective(KeySlowStart), effective(KeyWarmUpRate), effective(KeyConnections)
	return texts
}

// parse converts the values to their types. The tree is valid, so parse errors cannot occur.
func (t groupTexts) parse() Group {
	group := Group{Discover: t.discover}
	group.Share, _ = strconv.ParseFloat(t.share, 64)
	group.SlowStart, _ = time.ParseDuration(t.slowStart)
	group.WarmUpRate, _ = strconv.ParseFloat(t.warmUpRate, 64)
	group.Connections, _ = strconv.Atoi(t.connections)
	return group
}
