package findings

// node is one parsed JSON value.
type node struct {
	// scalar is a string, json.Number, bool or nil, if neither members nor
	// elements are set.
	scalar   any
	kind     kind
	members  []member
	elements []*node
}

// member is one key and value of an object.
type member struct {
	key   string
	value *node
}

// kind is the JSON type of a node.
type kind string

// Kinds of node, worded for messages.
const (
	kindNull    kind = "null"
	kindBoolean kind = "a boolean"
	kindNumber  kind = "a number"
	kindString  kind = "a string"
	kindObject  kind = "an object"
	kindArray   kind = "an array"
)
