package gossiper

//go:generate sh -c "cd ../.. && protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative protocol/gossiper/gossiper.proto"
