package codec

// Names gives each name of a list its index, so that messages which repeat a few names have each of them once.
// Make one beside each list.
type Names map[string]int

// Index returns where the name stands in the list, at the end of it from now on if it did not.
func (n Names) Index(list *[]string, name string) int {
	at, known := n[name]
	if !known {
		at = len(*list)
		n[name] = at
		*list = append(*list, name)
	}
	return at
}
