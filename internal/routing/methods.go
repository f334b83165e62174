package routing

import (
	"net/http"
	"slices"

	"trefoilstream.example/trefoilstream/internal/document"
)

// methodSet has one bit per known method. The bit otherMethod stands for all
// others, whose names have to be compared.
type methodSet uint16

const otherMethod methodSet = 1 << 15

func methodBit(method string) methodSet {
	switch method {
	case http.MethodGet:
		return 1 << 0
	case http.MethodHead:
		return 1 << 1
	case http.MethodPost:
		return 1 << 2
	case http.MethodPut:
		return 1 << 3
	case http.MethodPatch:
		return 1 << 4
	case http.MethodDelete:
		return 1 << 5
	case http.MethodOptions:
		return 1 << 6
	}
	return otherMethod
}

func methodsOf(r *document.Route) methodSet {
	var set methodSet
	for _, m := range r.Methods {
		set |= methodBit(m)
	}
	return set
}

// allows reports whether the route of this set allows the method, given with its
// bit.
func (s methodSet) allows(r *document.Route, method string, bit methodSet) bool {
	return s&bit != 0 && (bit != otherMethod || slices.Contains(r.Methods, method))
}
