package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// maxTableBytes bounds the body of a table request.
const maxTableBytes = 1 << 20

// keyAttribute is the partition key of every table.
const keyAttribute = "id"

// attributes is an item in the API's JSON form, such as {"id": {"S": "x"}}.
type attributes map[string]map[string]string

// tableRequest has the fields of GetItem and PutItem requests that the adapter uses.
type tableRequest struct {
	TableName                 string
	Key                       attributes
	Item                      attributes
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attributes
}

// serveTable serves a request of the DynamoDB API.
func (s *Server) serveTable(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTableBytes))
	var req tableRequest
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		writeTableError(w, "ValidationException", err.Error())
		return
	}
	s.applyFaults()
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	switch operation {
	case "GetItem":
		s.getItem(w, req)
	case "PutItem":
		s.putItem(w, req)
	default:
		writeTableError(w, "UnknownOperationException", "operation "+operation+" is not supported")
	}
}

func (s *Server) getItem(w http.ResponseWriter, req tableRequest) {
	s.mu.Lock()
	item := s.items[itemKey(req.TableName, req.Key)]
	s.counts.TableReads++
	s.mu.Unlock()
	if item == nil {
		writeTable(w, struct{}{})
		return
	}
	writeTable(w, map[string]attributes{"Item": item})
}

func (s *Server) putItem(w http.ResponseWriter, req tableRequest) {
	key := itemKey(req.TableName, req.Item)
	s.mu.Lock()
	holds, err := conditionHolds(req, s.items[key])
	switch {
	case err != nil:
	case holds:
		s.items[key] = req.Item
		s.counts.TableWrites++
	default:
		s.counts.Conflicts++
	}
	s.mu.Unlock()
	s.loseAnswer(&s.faults.LoseTableAnswers)
	switch {
	case err != nil:
		writeTableError(w, "ValidationException", err.Error())
	case !holds:
		writeTableError(w, "ConditionalCheckFailedException", "The conditional request failed")
	default:
		writeTable(w, struct{}{})
	}
}

func itemKey(table string, key attributes) string { return table + "/" + key[keyAttribute]["S"] }

func writeTable(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	_ = json.NewEncoder(w).Encode(v) // Fails only if the client has disconnected.
}

func writeTableError(w http.ResponseWriter, code, message string) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(map[string]string{
		"__type":  "com.amazonaws.dynamodb.v20120810#" + code,
		"message": message,
	}) // Fails only if the client has disconnected.
}
