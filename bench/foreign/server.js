// Policy server for envoy.service.auth.v3.Authorization on Node's gRPC runtime; the arguments are folders with the
// published .proto files. Denies requests whose id ends in 7 with status 402 and allows all others. Prints its port,
// and the id, method, path and firm of each check.
const grpc = require('@grpc/grpc-js');
const loader = require('@grpc/proto-loader');

const definition = loader.loadSync('envoy/service/auth/v3/external_auth.proto', {
  includeDirs: process.argv.slice(2), keepCase: true, longs: Number, enums: String, defaults: true, oneofs: true });
const service = grpc.loadPackageDefinition(definition).envoy.service.auth.v3.Authorization.service;
const server = new grpc.Server();
server.addService(service, {
  check(call, done) {
    const http = call.request.attributes.request.http;
    console.log(`check ${http.id} ${http.method} ${http.path} firm ${call.request.attributes.context_extensions.firm}`);
    if (http.id.endsWith('7')) {
      done(null, { status: { code: 7 }, denied_response: { status: { code: 402 }, body: 'not this one' } });
    } else {
      done(null, { status: { code: 0 }, ok_response: { headers: [{ header: { key: 'x-approved-by', value: 'node' } }] } });
    }
  },
});
server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (e, port) => {
  if (e) {
    throw e;
  }
  console.log(`port ${port}`);
});
