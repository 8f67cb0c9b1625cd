package codec

// NameTable maps the names in a list to their indexes. A message that repeats few names then holds each
// once. Each list needs its own table.
type NameTable map[string]int

// Index returns the index of the name in list. It appends the name if the table does not have it.
func (n NameTable) Index(list *[]string, name string) int {
	index, known := n[name]
	if !known {
		index = len(*list)
		n[name] = index
		*list = append(*list, name)
	}
	return index
}
