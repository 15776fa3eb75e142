package findings

// node is one parsed JSON value.
type node struct {
	// scalar is the string, json.Number, bool or nil of a node that is neither an
	// object nor an array.
	scalar   any
	kind     kind
	members  []member
	elements []*node
}

// member is a key of an object with its value.
type member struct {
	key   string
	value *node
}

// kind is the JSON type of a node.
type kind string

// Kinds of nodes, as they appear in messages.
const (
	kindNull    kind = "null"
	kindBoolean kind = "a boolean"
	kindNumber  kind = "a number"
	kindString  kind = "a string"
	kindObject  kind = "an object"
	kindArray   kind = "an array"
)
