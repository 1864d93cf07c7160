"""The base of the HTTP handlers of stand-in servers."""

from tornado.web import RequestHandler

from linnetwood.lab.soak.standanswers import close_connection
from linnetwood.lab.soak.standservers import Server, Servers


class ServerHandler(RequestHandler):
    """Handle requests to one server, none after it crashed."""

    def initialize(self, servers: Servers, server: Server) -> None:
        """Use the state of the server and of all of them."""
        self.servers = servers
        self.server = server

    def prepare(self) -> None:
        """Close the connection to a server that crashed."""
        if not self.server.alive:
            close_connection(self)

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""
